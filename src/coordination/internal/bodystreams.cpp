// Pieces and credit of bodies between hosts.

#include "coordination/bodystreams.h"

#include "protocol/errorkind.h"

#include <vector>

namespace kumquat::coordination {

using protocol::ErrorKind;
using transport::BodyReader;

namespace {

// What may be on its way of one body, beyond the piece being read.
constexpr std::int64_t kWindowBytes = 256 << 10;
// In place of a credit: the receiver wants no more of the body.
constexpr std::int64_t kAbandoned = -1;

} // namespace

BodyStreams::BodyStreams(Send aSend)
  : send(std::move(aSend))
{
}

void BodyStreams::Pump(const state::HostId& aHost, std::uint64_t aCorrelation,
                       BodyReader aReader)
{
  const Key key{ aHost, aCorrelation };
  this->outgoing[key] = { std::move(aReader), kWindowBytes, false };
  this->ReadNext(key);
}

void BodyStreams::ReadNext(const Key& aKey)
{
  const auto found = this->outgoing.find(aKey);
  if (found == this->outgoing.end() || found->second.reading ||
      found->second.credit <= 0) {
    return;
  }
  found->second.reading = true;
  // The reader may answer from within; a copy outlives an erase.
  const BodyReader reader = found->second.reader;
  reader([this, aKey](Result<std::string> aPiece) {
    this->OnPiece(aKey, std::move(aPiece));
  });
}

void BodyStreams::OnPiece(const Key& aKey, Result<std::string> aPiece)
{
  const auto found = this->outgoing.find(aKey);
  if (found == this->outgoing.end()) {
    return;
  }
  found->second.reading = false;
  protocol::BodyPart part;
  part.__set_last(!aPiece || aPiece->empty());
  if (aPiece) {
    found->second.credit -= static_cast<std::int64_t>(aPiece->size());
    part.data = std::move(*aPiece);
  } else {
    part.__set_error(static_cast<int>(ErrorKind::kUpstreamTruncated));
  }
  const bool last = part.last;
  protocol::Frame frame;
  frame.__set_correlation(static_cast<std::int64_t>(aKey.second));
  frame.bodyPart = std::move(part);
  frame.__isset.bodyPart = true;
  const bool sent = this->send(aKey.first, frame);
  if (last || !sent) {
    this->outgoing.erase(aKey);
    return;
  }
  this->ReadNext(aKey);
}

void BodyStreams::OnCredit(const state::HostId& aHost,
                           std::uint64_t aCorrelation, std::int64_t aBytes)
{
  const Key key{ aHost, aCorrelation };
  const auto found = this->outgoing.find(key);
  if (found == this->outgoing.end()) {
    return;
  }
  if (aBytes == kAbandoned) {
    this->outgoing.erase(found);
    return;
  }
  found->second.credit += aBytes;
  this->ReadNext(key);
}

BodyReader BodyStreams::Open(const state::HostId& aHost,
                             std::uint64_t aCorrelation)
{
  const Key key{ aHost, aCorrelation };
  auto stream = std::make_shared<Incoming>();
  this->incoming[key] = stream;
  const std::shared_ptr<void> guard(nullptr,
                                    [this, key](void*) { this->Abandon(key); });
  return [this, key, stream, guard](Take aTake) {
    this->Give(key, *stream, std::move(aTake));
  };
}

// A caller that goes away in the middle of a download would otherwise leave
// the steward waiting for credit, with the upstream's slot taken for good.
void BodyStreams::Abandon(const Key& aKey)
{
  if (this->incoming.erase(aKey) != 0) {
    this->SendCredit(aKey, kAbandoned);
  }
}

void BodyStreams::Give(const Key& aKey, Incoming& aIncoming, Take aTake)
{
  if (aIncoming.pieces.empty()) {
    aIncoming.take = std::move(aTake);
    return;
  }
  Result<std::string> piece = std::move(aIncoming.pieces.front());
  aIncoming.pieces.pop_front();
  if (piece && !piece->empty()) {
    this->SendCredit(aKey, static_cast<std::int64_t>(piece->size()));
  } else {
    this->incoming.erase(aKey);
  }
  aTake(std::move(piece));
}

void BodyStreams::SendCredit(const Key& aKey, std::int64_t aBytes)
{
  protocol::BodyCredit credit;
  credit.__set_bytes(aBytes);
  protocol::Frame frame;
  frame.__set_correlation(static_cast<std::int64_t>(aKey.second));
  frame.__set_bodyCredit(credit);
  static_cast<void>(this->send(aKey.first, frame));
}

void BodyStreams::OnPart(const state::HostId& aHost, std::uint64_t aCorrelation,
                         protocol::BodyPart&& aPart)
{
  const Key key{ aHost, aCorrelation };
  const auto found = this->incoming.find(key);
  if (found == this->incoming.end()) {
    return;
  }
  const std::shared_ptr<Incoming> stream = found->second;
  if (aPart.error != 0) {
    stream->pieces.emplace_back(
      make_error_code(protocol::ErrorKindFromNumber(aPart.error)));
  } else {
    if (!aPart.data.empty()) {
      stream->pieces.emplace_back(std::move(aPart.data));
    }
    if (aPart.last) {
      stream->pieces.emplace_back(std::string());
    }
  }
  if (stream->take) {
    this->Give(key, *stream, std::exchange(stream->take, {}));
  }
}

void BodyStreams::OnPeerLost(const state::HostId& aHost)
{
  std::erase_if(this->outgoing, [&aHost](const auto& aEntry) {
    return aEntry.first.first == aHost;
  });
  std::vector<std::pair<Key, std::shared_ptr<Incoming>>> cut;
  for (const auto& [key, stream] : this->incoming) {
    if (key.first == aHost) {
      cut.emplace_back(key, stream);
    }
  }
  for (const auto& [key, stream] : cut) {
    stream->pieces.emplace_back(make_error_code(ErrorKind::kPeerLost));
    if (stream->take) {
      this->Give(key, *stream, std::exchange(stream->take, {}));
    }
  }
}

} // namespace kumquat::coordination
