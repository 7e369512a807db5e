// Frames between hosts: Thrift's compact protocol behind a 4-byte length.

#pragma once

#include "framework/result.h"
#include "protocol/gen/peer_types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat::protocol {

constexpr std::size_t kLengthBytes = 4;
// A longer frame is a fault or not a peer of ours; the connection is closed.
constexpr std::uint32_t kMaxFrameBytes = 8U << 20U;

// The length and the body, ready to be written.
std::string EncodeFrame(const Frame& aFrame);

// aBody is what followed the length; kMalformedRequest where it is no Frame.
Result<Frame> DecodeFrame(std::string_view aBody);

std::uint32_t DecodeLength(std::string_view aLength);

} // namespace kumquat::protocol
