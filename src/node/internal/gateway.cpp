// Forwards the public interface of a gateway to its implementation.

#include "node/gateway.h"

#include "node/internal/gatewayimpl.h"

#include <utility>

namespace kumquat::node {

Gateway::Gateway(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::Start(
  const state::GatewaySettings& aSettings)
{
  auto impl = std::make_unique<Impl>(aSettings);
  if (const std::error_code error = impl->Start()) {
    return error;
  }
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

void Gateway::Reload(const state::GatewaySettings& aSettings)
{
  this->impl->Reload(aSettings);
}

void Gateway::OnReloadFailed(const std::string& aError)
{
  this->impl->OnReloadFailed(aError);
}

bool Gateway::Stop()
{
  return this->impl->Stop();
}

} // namespace kumquat::node
