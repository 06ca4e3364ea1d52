#include "connection/AnswerRelay.h"

namespace plantainhatch {

namespace {

using RelayPtr = boost::intrusive_ptr<AnswerRelay>;

} // namespace

void AnswerRelay::start(const IncomingCallPtr &receiver, const AnswerHead &head,
                        const AnswerSourcePtr &source, Duration idleLimit,
                        Done done, Observer observer) {
  const RelayPtr relay(new AnswerRelay);
  relay->receiver = receiver;
  relay->source = source;
  relay->idleLimit = idleLimit;
  relay->startedAt = std::chrono::steady_clock::now();
  relay->done = std::move(done);
  relay->observer = std::move(observer);
  if (receiver->request().method != "HEAD")
    relay->expected = head.contentLength;
  receiver->onGone([relay] {
    relay->source->cancel();
    relay->finish(RelayResult::ReceiverGone);
  });
  receiver->startStream(head);
  relay->readNext();
}

void AnswerRelay::readNext() {
  const RelayPtr self(this);
  idleTimer.startOnce(idleLimit, [self] { self->breakOff(); });
  source->read([self](Chunk chunk) { self->onChunk(std::move(chunk)); });
}

void AnswerRelay::onChunk(Chunk chunk) {
  idleTimer.stop();
  const bool isOverdue =
      std::chrono::steady_clock::now() - startedAt >= MaxTime;
  if (std::holds_alternative<BodyBroken>(chunk) || isOverdue) {
    breakOff();
    return;
  }
  if (std::holds_alternative<BodyEnd>(chunk)) {
    onEnd();
    return;
  }
  GBytes *const bytes = std::get<GBytesPtr>(chunk).get();
  relayed += g_bytes_get_size(bytes);
  if (observer)
    observer(bytes);
  const RelayPtr self(this);
  receiver->writeChunk(bytes, [self] { self->readNext(); });
}

void AnswerRelay::onEnd() {
  if (expected && relayed != *expected) {
    breakOff();
    return;
  }
  receiver->onGone(nullptr);
  receiver->endStream();
  finish(RelayResult::Whole);
}

void AnswerRelay::breakOff() {
  source->cancel();
  receiver->abort();
  finish(RelayResult::Broken);
}

void AnswerRelay::finish(RelayResult result) {
  idleTimer.stop();
  if (const Done action = std::exchange(done, nullptr))
    action(result);
}

} // namespace plantainhatch
