// The hooks by which coordination performs I/O. Each hook hands a task to the
// duty that does the work, and the result comes back to coordination's thread.

#include "node/callerhttp.h"
#include "node/internal/clocks.h"
#include "node/internal/nodeimpl.h"

#include <utility>

namespace kumquat::node {

using coordination::RequestId;
using coordination::UpstreamCall;
using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponse;

coordination::Router::Hooks Node::Impl::RouterHooks()
{
  coordination::Router::Hooks hooks;
  hooks.now = Now;
  hooks.unixTime = UnixTime;
  hooks.random = [this] { return this->random(); };
  hooks.table = this->TableHooks();
  hooks.send = [this](const state::HostId& aHost,
                      const protocol::Frame& aFrame) {
    return this->SendToPeer(aHost, aFrame);
  };
  hooks.setAddress = [this](const state::HostId& aHost,
                            const std::string& aAddress) {
    this->callers.Hand([this, aHost, aAddress] {
      this->peerNetwork->SetAddress(aHost.value, aAddress);
    });
  };
  hooks.sendUpstream = [this](UpstreamCall aCall) {
    const RequestId id = aCall.id;
    Task task = [this, call = std::move(aCall)]() mutable {
      this->SendToUpstream(std::move(call));
    };
    if (this->upstreams.TryHand(task)) {
      return;
    }
    // Reported by a separate task, as the steward is still in the middle of
    // sending the call.
    this->coordination.Context().post([this, id] {
      this->router->OnUpstreamAnswer(
        id, make_error_code(transport::TransportError::kUnreachable));
    });
  };
  hooks.cancelUpstream = [this](RequestId aId) {
    Task task = [this, aId] {
      const auto found = this->upstreamCalls.find(aId);
      if (found != this->upstreamCalls.end()) {
        this->upstreamClient->Cancel(found->second);
      }
    };
    static_cast<void>(this->upstreams.TryHand(task));
  };
  hooks.control = [this](const std::string& aAddress, HttpRequest aRequest,
                         milliseconds aTimeout, HttpDone aDone) {
    auto done = std::make_shared<HttpDone>(std::move(aDone));
    Task task = [this, aAddress, request = std::move(aRequest), aTimeout,
                 done]() mutable {
      this->controlClient->Send(
        aAddress, std::move(request), aTimeout,
        [this, done](Result<HttpResponse> aResponse) {
          this->coordination.Hand(
            [done, response = std::move(aResponse)]() mutable {
              (*done)(std::move(response));
            });
        });
    };
    if (!this->upstreams.TryHand(task)) {
      this->coordination.Context().post([done] {
        (*done)(make_error_code(transport::TransportError::kUnreachable));
      });
    }
  };
  hooks.deposed = [this] {
    this->log.Write(Event::kDeposed);
    if (this->onDeposed) {
      this->onDeposed();
    }
  };
  hooks.countRetry = [this](ErrorKind aKind) { this->CountRetry(aKind); };
  hooks.fetchObject = [this](const std::string& aName,
                             std::function<void(Result<std::string>)> aDone) {
    this->FetchObject(aName, std::move(aDone));
  };
  hooks.event = [this](Event aEvent, EventFields aFields) {
    this->log.Write(aEvent, aFields);
  };
  return hooks;
}

bool Node::Impl::TryRunOnPlatform(Task aTask)
{
  return this->platform.TryHand(aTask);
}

state::TableHooks Node::Impl::TableHooks()
{
  state::TableHooks hooks;
  hooks.query = [this](const std::string& aPartition,
                       state::TableHooks::QueryDone aDone) {
    auto done =
      std::make_shared<state::TableHooks::QueryDone>(std::move(aDone));
    const bool handed = this->TryRunOnPlatform([this, aPartition, done] {
      this->tableClient->Query(
        aPartition, [this, done](Result<std::vector<state::Row>> aRows) {
          this->coordination.Hand([done, rows = std::move(aRows)]() mutable {
            (*done)(std::move(rows));
          });
        });
    });
    if (!handed) {
      this->coordination.Context().post(
        [done] { (*done)(make_error_code(ErrorKind::kStoreUnavailable)); });
    }
  };
  hooks.write = [this](std::vector<state::ConditionalWrite> aWrites,
                       state::TableHooks::WriteDone aDone) {
    auto done =
      std::make_shared<state::TableHooks::WriteDone>(std::move(aDone));
    const bool handed = this->TryRunOnPlatform(
      [this, writes = std::move(aWrites), done]() mutable {
        this->tableClient->Write(
          std::move(writes), [this, done](state::WriteOutcome aOutcome) {
            this->coordination.Hand([done, aOutcome] { (*done)(aOutcome); });
          });
      });
    if (!handed) {
      this->coordination.Context().post(
        [done] { (*done)(state::WriteOutcome::kUnknown); });
    }
  };
  return hooks;
}

void Node::Impl::MakeOperatorApi()
{
  state::TableHooks pushingTable = this->TableHooks();
  pushingTable.write = [this](std::vector<state::ConditionalWrite> aWrites,
                              state::TableHooks::WriteDone aDone) {
    this->router->Map().Write(std::move(aWrites), std::move(aDone));
  };
  const auto nonce = [this] {
    return this->self.host.value + "-" + std::to_string(this->random());
  };
  this->configurationWriter = std::make_unique<state::ConfigurationWriter>(
    state::ConfigurationWriter::Hooks{
      .putObject =
        [this](const std::string& aName, std::string aContent,
               std::function<void(std::error_code)> aDone) {
          this->PutObject(aName, std::move(aContent), std::move(aDone));
        },
      .table = pushingTable,
      .nonce = nonce,
      .accepted =
        [this](state::Version aVersion, const std::string& aText) {
          this->router->Keeper().OnAccepted(aVersion, aText);
        } });
  this->operatorApi = std::make_unique<coordination::OperatorApi>(
    coordination::OperatorView{
      .self = this->self,
      .dataCentre = this->settings.dataCentre,
      .map = this->router->Map().Map(),
      .keeper = this->router->Keeper(),
      .isReady = [this] { return this->router->IsReady(); },
      .holdsLease = [this] { return this->router->HoldsLease(); },
      .counts = [this] { return this->router->Duty().Slots().Counts(); },
      .refusals =
        [this](ErrorKind aKind) { return this->refusals.Value(aKind); },
      .retries =
        [this](ErrorKind aKind) { return this->retries.Value(aKind); } },
    coordination::OperatorHooks{ .token = this->settings.operatorToken,
                                 .metrics =
                                   [this] {
                                     this->UpdateRingMetrics();
                                     return this->metrics.Text();
                                   },
                                 .table = pushingTable,
                                 .nonce = nonce,
                                 .event =
                                   [this](Event aEvent, EventFields aFields) {
                                     this->log.Write(aEvent, aFields);
                                   } },
    *this->configurationWriter);
}

void Node::Impl::PutObject(const std::string& aName, std::string aContent,
                           std::function<void(std::error_code)> aDone)
{
  auto done =
    std::make_shared<std::function<void(std::error_code)>>(std::move(aDone));
  const bool handed = this->TryRunOnPlatform(
    [this, aName, content = std::move(aContent), done]() mutable {
      this->objectClient->Put(
        aName, std::move(content), [this, done](std::error_code aError) {
          this->coordination.Hand([done, aError] { (*done)(aError); });
        });
    });
  if (!handed) {
    this->coordination.Context().post(
      [done] { (*done)(make_error_code(ErrorKind::kStoreUnavailable)); });
  }
}

void Node::Impl::FetchObject(const std::string& aName,
                             std::function<void(Result<std::string>)> aDone)
{
  auto done = std::make_shared<std::function<void(Result<std::string>)>>(
    std::move(aDone));
  const bool handed = this->TryRunOnPlatform([this, aName, done] {
    this->objectClient->Get(aName, [this, done](Result<std::string> aText) {
      this->coordination.Hand([done, text = std::move(aText)]() mutable {
        (*done)(std::move(text));
      });
    });
  });
  if (!handed) {
    this->coordination.Context().post(
      [done] { (*done)(make_error_code(ErrorKind::kStoreUnavailable)); });
  }
}

} // namespace kumquat::node
