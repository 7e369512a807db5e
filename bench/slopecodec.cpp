// What a frame costs: its bytes, and the time to encode and decode it.

#include "slope.h"

#include "protocol/codec.h"
#include "protocol/gen/peer_types.h"

#include <array>

namespace kumquat::bench {

namespace {

constexpr std::size_t kTimes = 50'000;
constexpr std::array<std::size_t, 4> kBodies = { 0, 1U << 10U, 16U << 10U,
                                                 64U << 10U };
constexpr std::array<std::size_t, 4> kRows = { 1, 10, 100, 1000 };

protocol::Frame MakeForward(std::size_t aBody)
{
  protocol::Forward forward;
  forward.sender.host = "caerdydd-1";
  forward.sender.incarnation = 1'700'000'000;
  forward.serviceName = "archeb";
  forward.key = "pitch-1234";
  forward.idempotencyKey = "01234567-89ab-7cde-8f01-23456789abcd";
  forward.remainingMicros = 2'000'000;
  forward.method = "POST";
  forward.target = "/archeb/pitch-1234?n=n1-2-3";
  forward.body.assign(aBody, 'b');
  forward.upstream.serviceName = "archeb";
  forward.upstream.upstream = "archeb-7";
  forward.stewardEpoch = 12;
  protocol::Frame frame;
  frame.correlation = 1'000'000;
  frame.__set_forward(forward);
  return frame;
}

protocol::Frame MakeConfirm()
{
  protocol::ConfirmRequest request;
  request.holder.host = "caerdydd-1";
  request.holder.incarnation = 1'700'000'000;
  request.guardIncarnation = 1'700'000'001;
  protocol::Frame frame;
  frame.correlation = 1'000'000;
  frame.__set_confirmRequest(request);
  return frame;
}

protocol::Frame MakeConfirmed()
{
  protocol::ConfirmReply reply;
  reply.confirmed = true;
  protocol::Frame frame;
  frame.correlation = 1'000'000;
  frame.reply = true;
  frame.__set_confirmReply(reply);
  return frame;
}

protocol::Frame MakeMapChange(std::size_t aRows)
{
  protocol::MapChange change;
  for (std::size_t i = 0; i < aRows; ++i) {
    protocol::RowChange row;
    row.partition = "slices/stoc";
    row.name = std::to_string(i);
    row.version = static_cast<std::int64_t>(i);
    row.body = R"({"epoch":12,"first":"1234567890123456789",)"
               R"("last":"1234567890123456799","upstream":"stoc-12"})";
    change.rows.push_back(std::move(row));
  }
  protocol::Frame frame;
  frame.__set_mapChange(change);
  return frame;
}

void AddFrame(double aSize, const protocol::Frame& aFrame, Slope& aBytes,
              Slope& aEncode, Slope& aDecode)
{
  const std::string bytes = protocol::EncodeFrame(aFrame);
  const std::string_view body =
    std::string_view(bytes).substr(protocol::kLengthBytes);
  std::size_t sum = 0;
  const double encode = TimeEach(
    kTimes, [&](std::size_t) { sum += protocol::EncodeFrame(aFrame).size(); });
  const double decode = TimeEach(kTimes, [&](std::size_t) {
    sum += protocol::DecodeFrame(body).has_value() ? 1 : 0;
  });
  aBytes.points.push_back({ aSize, static_cast<double>(bytes.size()) });
  aEncode.points.push_back({ aSize, encode });
  aDecode.points.push_back({ aSize, decode });
}

} // namespace

std::vector<Slope> MeasureCodec()
{
  Slope bytes{ "codec", "forward: frame", "bytes", "body byte", {} };
  Slope encode{ "codec", "forward: encode", "ns", "body byte", {} };
  Slope decode{ "codec", "forward: decode", "ns", "body byte", {} };
  for (const std::size_t body : kBodies) {
    AddFrame(static_cast<double>(body), MakeForward(body), bytes, encode,
             decode);
  }
  Slope confirmBytes{ "codec", "confirm: frame", "bytes", "frame", {} };
  Slope confirmEncode{ "codec", "confirm: encode", "ns", "frame", {} };
  Slope confirmDecode{ "codec", "confirm: decode", "ns", "frame", {} };
  AddFrame(1, MakeConfirm(), confirmBytes, confirmEncode, confirmDecode);
  Slope replyBytes{ "codec", "confirmed: frame", "bytes", "frame", {} };
  Slope replyEncode{ "codec", "confirmed: encode", "ns", "frame", {} };
  Slope replyDecode{ "codec", "confirmed: decode", "ns", "frame", {} };
  AddFrame(1, MakeConfirmed(), replyBytes, replyEncode, replyDecode);
  Slope rowBytes{ "codec", "map change: frame", "bytes", "row", {} };
  Slope rowEncode{ "codec", "map change: encode", "ns", "row", {} };
  Slope rowDecode{ "codec", "map change: decode", "ns", "row", {} };
  for (const std::size_t rows : kRows) {
    AddFrame(static_cast<double>(rows), MakeMapChange(rows), rowBytes,
             rowEncode, rowDecode);
  }
  return { bytes,         encode,        decode,     confirmBytes,
           confirmEncode, confirmDecode, replyBytes, replyEncode,
           replyDecode,   rowBytes,      rowEncode,  rowDecode };
}

} // namespace kumquat::bench
