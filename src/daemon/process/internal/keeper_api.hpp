#pragma once

#include "connection/operator_http.hpp"
#include "process/internal/keeper_task.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace vanillaferry::internal {

/// Starts the HTTP interface for operators.
Status startApi(Keeper &Self);
void stopApi(Keeper &Self);

/// Answers {"error": Name, "message": Message}.
void answerError(HttpExchange &Exchange, int HttpStatus, const char *Name,
                 const std::string &Message);
/// Sends the operator to the leader: 307 when its address is known, else 503.
void answerNotLeader(Keeper &Self, HttpExchange &Exchange);
/// 503 for a request whose outcome is not known because leadership was lost.
void answerLeaderLost(Keeper &Self, HttpExchange &Exchange);
/// Answers 503 and returns true when the keepers use a lower feature level than
/// an order needs.
bool answerBelowLevel(Keeper &Self, HttpExchange &Exchange,
                      FeatureLevel Needed);
/// Linearizable read: runs Then once this keeper is confirmed as the leader and
/// has applied all that was committed before. Otherwise the operator is
/// redirected to the leader.
void afterConfirmedRead(Keeper &Self, ExchangePtr Exchange,
                        std::function<void()> Then);

// keeper_api_document.cpp
void getDocument(Keeper &Self, const ExchangePtr &Exchange);
void getSection(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name);
void getHistory(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name);
void putSection(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Name, const OperatorId &Operator);
void getInForce(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Version);

// keeper_manifest.cpp
void putManifest(Keeper &Self, const ExchangePtr &Exchange);
void getManifest(Keeper &Self, const ExchangePtr &Exchange);
void postZone(Keeper &Self, const ExchangePtr &Exchange,
              const std::string &Zone, bool Out);

// keeper_prompts.cpp
void getQuarantine(Keeper &Self, const ExchangePtr &Exchange);
void deleteQuarantine(Keeper &Self, const ExchangePtr &Exchange,
                      const std::string &Part);

// keeper_rollouts.cpp
void postRollout(Keeper &Self, const ExchangePtr &Exchange);
void getRollout(Keeper &Self, const ExchangePtr &Exchange,
                const std::string &Service);

// keeper_api_orders.cpp
void postOrder(Keeper &Self, const ExchangePtr &Exchange,
               const OperatorSettings &Operator);
void getOrders(Keeper &Self, const ExchangePtr &Exchange);
void getOrder(Keeper &Self, const ExchangePtr &Exchange, const std::string &Id);
/// Counts of orders and the oldest open orders, for the status.
nlohmann::json openOrdersJson(const Keeper &Self);

// keeper_api_status.cpp
void getStatus(Keeper &Self, const ExchangePtr &Exchange);
void addKeeper(Keeper &Self, const ExchangePtr &Exchange);
void promoteKeeper(Keeper &Self, const ExchangePtr &Exchange,
                   const std::string &Id);
void deleteKeeper(Keeper &Self, const ExchangePtr &Exchange,
                  const std::string &Id);
void drainRouter(Keeper &Self, const ExchangePtr &Exchange,
                 const std::string &Node);
void getReady(Keeper &Self, const ExchangePtr &Exchange);
void getMetrics(Keeper &Self, const ExchangePtr &Exchange);

} // namespace vanillaferry::internal
