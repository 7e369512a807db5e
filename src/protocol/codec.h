// Encodes and decodes the frames between hosts: a 4-byte length, followed by a
// Frame in Thrift's compact protocol.

#pragma once

#include "framework/result.h"
#include "protocol/gen/peer_types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat::protocol {

// Size of the length that precedes a frame.
constexpr std::size_t kLengthBytes = 4;
// A longer frame means a fault, or that the other side is no kumquatscale host;
// the connection is closed.
constexpr std::uint32_t kMaxFrameBytes = 8U << 20U;

// Returns the length and the frame, ready to be written to a connection.
std::string EncodeFrame(const Frame& aFrame);

// Returns an encoded frame compressed, or unchanged if it is short or becomes
// hardly shorter. Rows of tables are JSON and alike; the entries of many
// upstreams take a sixth of their bytes. Only for peers that read compressed
// frames; see Hello.
std::string CompressFrame(const std::string& aEncoded);

// aBody is what follows the length. Returns kMalformedRequest if it is not a
// valid Frame.
Result<Frame> DecodeFrame(std::string_view aBody);

// Reads the big-endian length from the first kLengthBytes bytes of aLength.
std::uint32_t DecodeLength(std::string_view aLength);

} // namespace kumquat::protocol
