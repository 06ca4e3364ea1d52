/** \file
 * Callers that run beside a test. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_BACKGROUNDCALLERS_H
#define PLANTAINHATCH_TEST_SUPPORT_BACKGROUNDCALLERS_H

#include "base/Address.h"
#include "connection/GObjectPtr.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace plantainhatch::test {

/** The callers' stand-in as a process of its own, so that the test can act
 * meanwhile. It ends by itself. */
class BackgroundCallers {
public:
  /** \param options are those of the stand-in. */
  BackgroundCallers(const std::vector<Address> &nodes,
                    const std::vector<std::string> &options);

  /** Waits for its end. \return its report. */
  nlohmann::json finish();

private:
  GObjectPtr<GSubprocess> process;
};

} // namespace plantainhatch::test

#endif
