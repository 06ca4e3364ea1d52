/** \file
 * Gives an accepted version to a few nodes at once. */
#ifndef PLANTAINHATCH_OPERATOR_OFFERVERSION_H
#define PLANTAINHATCH_OPERATOR_OFFERVERSION_H

#include "operator/CommandContext.h"

#include <string>

namespace plantainhatch {

/** Nodes of each failure domain that are given a version. */
inline constexpr std::size_t OfferedPerDomain = 2;
/** Nodes that have not answered by then are left to the others. */
inline constexpr std::chrono::milliseconds OfferTime{1'000};

/** Gives \p text to a few nodes of each failure domain, which spread it. Nodes
 * find accepted versions in the store by themselves; this makes an accepted
 * order hold also when the store goes down before any of them has looked.
 * \pre The version named by \p head was accepted. \return at how many of
 * them it, or a newer one, is in force. Blocks the caller while it runs the
 * main loop. */
std::size_t offerVersion(CommandContext &context, const ConfigurationHead &head,
                         const std::string &text);

} // namespace plantainhatch

#endif
