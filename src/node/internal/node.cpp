// Forwards the public interface of a node to its implementation.

#include "node/node.h"

#include "node/internal/nodeimpl.h"

#include <utility>

namespace kumquat::node {

Node::Node(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::Start(const state::Settings& aSettings,
                                          std::function<void()> aOnDeposed)
{
  auto impl = std::make_unique<Impl>(aSettings, std::move(aOnDeposed));
  if (const std::error_code error = impl->Start()) {
    return error;
  }
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

bool Node::Stop(std::chrono::milliseconds aTimeout)
{
  return this->impl->Stop(aTimeout);
}

} // namespace kumquat::node
