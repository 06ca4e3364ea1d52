#include "node/QuotaTask.h"

#include "base/Digest.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

namespace {

/** Answers to earlier questions for pledges are not counted. */
constexpr std::size_t OpenPledgeQuestions = 4;
constexpr double Half = 0.5;
/** Quotas hold over any time. */
constexpr std::chrono::milliseconds Window{0};

std::size_t groupOf(std::uint64_t team) { return team % QuotaTask::Groups; }

} // namespace

QuotaTask::QuotaTask(NodeServices &services, PeerTask &peers,
                     ConfigurationTask &configuration)
    : services(services), peers(peers), configuration(configuration) {
  const TimePoint now = NodeServices::now();
  for (std::size_t n = 0; n < Groups; ++n)
    groups.push_back({QuotaPledge(now), {}, {}, {}, {}});
  configuration.addAdoptionListener(
      [this](const ConfigurationPtr & /*before*/) { setLimits(); });
}

void QuotaTask::setLimits() {
  checkClock();
  std::array<std::map<std::uint64_t, QuotaLimit>, Groups> limits;
  for (const TeamRule &it :
       configuration.current()->teamRules() | std::views::values)
    if (it.hasQuota()) {
      const std::uint64_t team = stableHash(it.name);
      limits.at(groupOf(team))[team] = QuotaLimit::within(
          it.callsPerSecond, it.burst, services.settings.quota, Window);
    }
  hasQuotas =
      std::ranges::any_of(limits, [](const auto &it) { return !it.empty(); });
  for (std::size_t n = 0; n < Groups; ++n)
    groups[n].keeper.setLimits(limits.at(n), NodeServices::now());
  if (hasQuotas && !timer.isRunning())
    timer.startRepeating(TickInterval, [this] { tick(); });
}

void QuotaTask::checkClock() {
  if (suspensions.advance(readSuspendedTime()) <
      FreshnessGuard::ShortestSuspension)
    return;
  const TimePoint now = NodeServices::now();
  pledgeQuestions.clear();
  for (Group &it : groups) {
    it.keeper.clear();
    it.question = {};
  }
  for (Team &it : teams | std::views::values)
    it.pocket.clear(now);
  setLimits();
}

void QuotaTask::take(const TeamRule &team, Done done) {
  if (!team.hasQuota()) {
    done({QuotaDecision::Kind::Granted, std::nullopt, {}});
    return;
  }
  checkClock();
  const TimePoint now = NodeServices::now();
  const std::uint64_t name = stableHash(team.name);
  Team &state = teams[name];
  state.pocket.onCall(now);
  Waiter waiter{now, std::move(done)};
  const auto token =
      state.waiters.empty() ? state.pocket.take(now) : std::nullopt;
  if (token) {
    finish(waiter, {QuotaDecision::Kind::Granted, token, {}});
  } else if (now < state.overUntil) {
    finish(waiter, {QuotaDecision::Kind::Over, {}, state.wait});
  } else {
    state.waiters.push_back(std::move(waiter));
    askForTokens(groupOf(name), now);
  }
}

void QuotaTask::finish(const Waiter &waiter, const QuotaDecision &decision) {
  const char *const result =
      decision.kind == QuotaDecision::Kind::Granted ? R"(result="granted")"
      : decision.kind == QuotaDecision::Kind::Over  ? R"(result="over")"
                                                    : R"(result="unknown")";
  services.metrics.add("quota_decisions_total", result);
  waiter.done(decision);
}

void QuotaTask::giveBack(const std::string &team, const QuotaToken &token) {
  const auto it = teams.find(stableHash(team));
  if (it != teams.end())
    it->second.pocket.giveBack(token, NodeServices::now());
}

void QuotaTask::tick() {
  if (!hasQuotas && teams.empty()) {
    timer.stop();
    return;
  }
  const ScopedControlCpuTimer scope(services.metrics);
  checkClock();
  const TimePoint now = NodeServices::now();
  if (now - lastTickAt >= EagerPledgeInterval) {
    lastTickAt = now;
    countNodes(now);
    askForPledges(now);
  }
  for (std::size_t n = 0; n < Groups; ++n) {
    expireQuestion(n, now);
    askForTokens(n, now);
  }
  expireWaiters(now);
  std::erase_if(teams, [now](auto &it) {
    return it.second.waiters.empty() && it.second.pocket.isIdle(now);
  });
}

void QuotaTask::countNodes(TimePoint now) {
  parts.onSeen(services.settings.peers, now);
  for (const Member &it : peers.membership().others() | std::views::values) {
    if (it.liveness == Liveness::Left)
      parts.onLeft(it.peersAddress);
    else if (it.isPresent())
      parts.onSeen(it.peersAddress, now);
    else
      parts.onKnown(it.peersAddress, now);
  }
  const std::size_t count = parts.count(now);
  for (Group &it : groups)
    it.keeper.setParts(count, now);
}

Address QuotaTask::keeperOf(std::size_t group, TimePoint now) const {
  const auto isMuted = [&](const Address &it) {
    const auto found = muted.find(it);
    return found != muted.end() && now < found->second;
  };
  Address promised = groups[group].pledge.keeper(now);
  if (!promised.isEmpty() && !isMuted(promised) && !hasLeft(promised))
    return promised;
  return selectKeeper(group, isMuted);
}

bool QuotaTask::hasLeft(const Address &node) const {
  const Member *const found = peers.membership().find(node);
  return found != nullptr && found->liveness == Liveness::Left;
}

template <typename Predicate>
Address QuotaTask::selectKeeper(std::size_t group, Predicate isMuted) const {
  const std::string task = "quota/" + std::to_string(group);
  const auto weightOf = [&](const Address &it) {
    return stableHash(task + "/" + it.toString());
  };
  Address selected = services.settings.peers;
  std::uint64_t highest = weightOf(selected);
  for (const Member &it : peers.membership().others() | std::views::values) {
    if (it.liveness != Liveness::Alive || isMuted(it.peersAddress))
      continue;
    const std::uint64_t weight = weightOf(it.peersAddress);
    if (weight <= highest)
      continue;
    highest = weight;
    selected = it.peersAddress;
  }
  return selected;
}

bool QuotaTask::isKeeper(std::size_t group, TimePoint now) const {
  if (isStopping)
    return false;
  // One that has the lesser part lets go of it, unless it is the one that all
  // should come to. So two keepers become one when they see each other again.
  const auto nobody = [](const Address & /*node*/) { return false; };
  return groups[group].keeper.share(now) >= Half ||
         selectKeeper(group, nobody) == services.settings.peers;
}

void QuotaTask::askForPledges(TimePoint now) {
  // A node that has met no other does not know among how many to divide.
  if (!configuration.isPeerStateKnown())
    return;
  QuotaPledgeQuery query{services.random(), 0};
  for (std::size_t n = 0; n < Groups; ++n) {
    Group &group = groups[n];
    const bool isEager = group.keeper.share(now) < Half;
    const bool isDue = now - group.pledgesAskedAt >=
                       (isEager ? EagerPledgeInterval : PledgeInterval);
    if (!isDue || !isKeeper(n, now))
      continue;
    group.pledgesAskedAt = now;
    query.groups |= static_cast<std::uint8_t>(1U << n);
  }
  if (query.groups == 0)
    return;
  pledgeQuestions.push_back({query.nonce, now});
  if (pledgeQuestions.size() > OpenPledgeQuestions)
    pledgeQuestions.pop_front();
  for (const Member &it : peers.membership().others() | std::views::values)
    if (it.isPresent())
      peers.sendWithoutUpdates(it.peersAddress, query);
  onPledgeQuery(services.settings.peers, query);
}

void QuotaTask::onPledgeQuery(const Address &sender,
                              const QuotaPledgeQuery &query) {
  const TimePoint now = NodeServices::now();
  QuotaPledgeAnswer answer{query.nonce, 0,
                           static_cast<std::uint32_t>(parts.count(now))};
  for (std::size_t n = 0; n < Groups; ++n) {
    const auto bit = static_cast<std::uint8_t>(1U << n);
    if ((query.groups & bit) != 0 && groups[n].pledge.give(sender, now))
      answer.groups |= bit;
  }
  if (sender == services.settings.peers)
    onPledgeAnswer(sender, answer);
  else if (answer.groups != 0)
    peers.sendWithoutUpdates(sender, answer);
}

void QuotaTask::onPledgeAnswer(const Address &sender,
                               const QuotaPledgeAnswer &answer) {
  const auto question =
      std::ranges::find(pledgeQuestions, answer.nonce, &PledgeQuestion::nonce);
  if (question == pledgeQuestions.end())
    return;
  const TimePoint now = NodeServices::now();
  for (std::size_t n = 0; n < Groups; ++n)
    if ((answer.groups & (1U << n)) != 0)
      groups[n].keeper.onPledge(sender, question->askedAt, answer.parts, now);
}

void QuotaTask::askForTokens(std::size_t group, TimePoint now) {
  Question &question = groups[group].question;
  if (question.sequence != 0)
    return;
  QuotaQuery query{0, static_cast<std::uint8_t>(group), {}};
  for (auto &[name, team] : teams) {
    if (groupOf(name) != group || query.needs.size() >= QuotaQuery::MaxNeeds)
      continue;
    const unsigned wanted = team.pocket.wanted(team.waiters.size(), now);
    const bool mustAsk = !team.waiters.empty() ||
                         (wanted > 0 && wanted >= team.pocket.held(now));
    if (mustAsk)
      query.needs.push_back({name, wanted, team.pocket.report(now)});
  }
  if (query.needs.empty())
    return;
  query.sequence = nextSequence++;
  question = {query.sequence, keeperOf(group, now), now};
  services.metrics.add("quota_questions_total");
  if (question.keeper == services.settings.peers) {
    const Address self = question.keeper;
    onAnswer(self, answerQuery(self, query, now));
  } else {
    peers.sendWithoutUpdates(question.keeper, query);
  }
}

void QuotaTask::expireQuestion(std::size_t group, TimePoint now) {
  Question &question = groups[group].question;
  if (question.sequence == 0 || now - question.askedAt < QueryLimit)
    return;
  services.metrics.add("quota_questions_unanswered_total");
  const Address keeper = question.keeper;
  question = {};
  if (++silentQuestions[keeper] < SilentQuestions)
    return;
  silentQuestions.erase(keeper);
  services.logDecision(DecisionKind::StateChange,
                       {{"event", "quota-keeper-silent"},
                        {"group", group},
                        {"keeper", keeper.toString()}});
  muted[keeper] = now + MuteTime;
}

void QuotaTask::expireWaiters(TimePoint now) {
  for (Team &team : teams | std::views::values)
    while (!team.waiters.empty() &&
           now - team.waiters.front().arrivedAt >= MaxWait) {
      const Waiter expired = std::move(team.waiters.front());
      team.waiters.pop_front();
      finish(expired, {QuotaDecision::Kind::Unknown, {}, MaxWait});
    }
}

void QuotaTask::onMessage(const Message &message) {
  const Address &sender = message.header.sender;
  checkClock();
  if (const auto *const pledges = std::get_if<QuotaPledgeQuery>(&message.body))
    onPledgeQuery(sender, *pledges);
  else if (const auto *const pledge =
               std::get_if<QuotaPledgeAnswer>(&message.body))
    onPledgeAnswer(sender, *pledge);
  else if (const auto *const query = std::get_if<QuotaQuery>(&message.body))
    onQuery(message.header, *query);
  else if (const auto *const answer = std::get_if<QuotaAnswer>(&message.body))
    onAnswer(sender, *answer);
}

void QuotaTask::onQuery(const MessageHeader &header, const QuotaQuery &query) {
  if (query.group >= Groups || query.needs.size() > QuotaQuery::MaxNeeds)
    return;
  Group &group = groups[query.group];
  const std::pair order(header.generation, query.sequence);
  auto &last = group.lastQuestions[header.sender];
  if (order <= last)
    return;
  last = order;
  const TimePoint now = NodeServices::now();
  peers.sendWithoutUpdates(header.sender,
                           answerQuery(header.sender, query, now));
}

QuotaAnswer QuotaTask::answerQuery(const Address &sender,
                                   const QuotaQuery &query, TimePoint now) {
  QuotaAnswer answer{query.sequence, query.group, {}};
  for (const QuotaNeed &it : query.needs) {
    const QuotaGrant grant = groups[query.group].keeper.grant(
        sender, {it.team, it.wanted, it.held}, now);
    answer.allotments.push_back({it.team, grant.tokens,
                                 static_cast<std::uint32_t>(grant.wait.count()),
                                 grant.hasPart});
  }
  return answer;
}

void QuotaTask::onAnswer(const Address &sender, const QuotaAnswer &answer) {
  if (answer.group >= Groups)
    return;
  Question &question = groups[answer.group].question;
  if (question.sequence != answer.sequence || question.keeper != sender)
    return;
  silentQuestions.erase(sender);
  const TimePoint askedAt = std::exchange(question, {}).askedAt;
  const TimePoint now = NodeServices::now();
  for (const QuotaAllotment &it : answer.allotments)
    onAllotment(it, askedAt, now);
}

void QuotaTask::onAllotment(const QuotaAllotment &allotment, TimePoint askedAt,
                            TimePoint now) {
  const auto it = teams.find(allotment.team);
  if (it == teams.end())
    return;
  Team &team = it->second;
  team.pocket.add(allotment.tokens, askedAt, now);
  std::deque<Waiter> waiters = std::exchange(team.waiters, {});
  const std::chrono::milliseconds wait(allotment.waitMs);
  const bool isOver = allotment.hasPart &&
                      wait > std::chrono::milliseconds(0) &&
                      team.pocket.held(now) < waiters.size();
  if (isOver) {
    team.wait = wait;
    team.overUntil = now + std::min(wait, MaxOverTime);
  }
  std::deque<Waiter> remaining;
  for (Waiter &waiter : waiters) {
    if (const auto token = team.pocket.take(now))
      finish(waiter, {QuotaDecision::Kind::Granted, token, {}});
    else if (isOver && waiter.arrivedAt <= askedAt)
      finish(waiter, {QuotaDecision::Kind::Over, {}, wait});
    else
      remaining.push_back(std::move(waiter));
  }
  // Calls that were served may have led to others, which wait behind these.
  Team &after = teams[allotment.team];
  std::ranges::move(after.waiters, std::back_inserter(remaining));
  after.waiters = std::move(remaining);
}

} // namespace plantainhatch
