/** \file
 * What a policy that picks a target must offer, and the policies there are. */
#ifndef PLANTAINHATCH_REQUEST_PICKPOLICY_H
#define PLANTAINHATCH_REQUEST_PICKPOLICY_H

#include "request/Candidate.h"
#include "request/ExpectedEndPolicy.h"
#include "request/HotColdPolicy.h"
#include "request/LeastInFlightPolicy.h"
#include "request/RandomPolicy.h"
#include "request/RoundRobinPolicy.h"

#include <concepts>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>

namespace plantainhatch {

/** A policy returns the index of one of the choices. It may keep state of its
 * own, reads no clock and draws chance from the generator only. \pre The span
 * is not empty. */
template <typename T>
concept PickPolicy = requires(T policy, std::span<const Candidate> choices,
                              std::mt19937_64 &random) {
  { policy.pick(choices, random) } -> std::same_as<std::size_t>;
};

static_assert(PickPolicy<HotColdPolicy>);
static_assert(PickPolicy<ExpectedEndPolicy>);
static_assert(PickPolicy<RandomPolicy>);
static_assert(PickPolicy<RoundRobinPolicy>);
static_assert(PickPolicy<LeastInFlightPolicy>);

/** Any policy. */
using AnyPickPolicy =
    std::variant<HotColdPolicy, ExpectedEndPolicy, RandomPolicy,
                 RoundRobinPolicy, LeastInFlightPolicy>;

/** The policy of this name: "hot-cold", "expected-end", "random", "round-robin"
 * or "least-in-flight". */
std::optional<AnyPickPolicy> makePickPolicy(std::string_view name);

} // namespace plantainhatch

#endif
