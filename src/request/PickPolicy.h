/** \file
 * Concept of a pick policy, and the available policies. */
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

/** A policy that picks a target: pick() returns an index into \p candidates,
 * which must not be empty. A policy may keep state, but reads no clock and
 * takes random numbers from the given generator only, so that picks are
 * reproducible.
 */
template <typename T>
concept PickPolicy = requires(T policy, std::span<const Candidate> candidates,
                              std::mt19937_64 &random) {
  { policy.pick(candidates, random) } -> std::same_as<std::size_t>;
};

static_assert(PickPolicy<HotColdPolicy>);
static_assert(PickPolicy<ExpectedEndPolicy>);
static_assert(PickPolicy<RandomPolicy>);
static_assert(PickPolicy<RoundRobinPolicy>);
static_assert(PickPolicy<LeastInFlightPolicy>);

/** Any of the policies. */
using AnyPickPolicy =
    std::variant<HotColdPolicy, ExpectedEndPolicy, RandomPolicy,
                 RoundRobinPolicy, LeastInFlightPolicy>;

/** Makes the policy named \p name: "hot-cold", "expected-end", "random",
 * "round-robin" or "least-in-flight". \return nullopt for any other name. */
std::optional<AnyPickPolicy> makePickPolicy(std::string_view name);

} // namespace plantainhatch

#endif
