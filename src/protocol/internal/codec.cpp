// Encodes and decodes frames with Thrift's memory buffer and compact protocol,
// without a Thrift transport.

#include "protocol/codec.h"

#include "protocol/errorkind.h"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace kumquat::protocol {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

std::string EncodeFrame(const Frame& aFrame)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> writer(buffer);
  aFrame.write(&writer);
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&data, &size);
  std::string bytes(kLengthBytes + size, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               size);
  std::copy_n(reinterpret_cast<const char*>(data), size,
              bytes.begin() + kLengthBytes);
  return bytes;
}

Result<Frame> DecodeFrame(std::string_view aBody)
{
  // The buffer only reads the data, but Thrift's interface takes a mutable
  // pointer.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBody.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
    data, static_cast<std::uint32_t>(aBody.size()));
  TCompactProtocolT<TMemoryBuffer> reader(buffer);
  Frame frame;
  try {
    frame.read(&reader);
  } catch (const apache::thrift::TException&) {
    return make_error_code(ErrorKind::kMalformedRequest);
  }
  return frame;
}

std::uint32_t DecodeLength(std::string_view aLength)
{
  return boost::endian::load_big_u32(
    reinterpret_cast<const unsigned char*>(aLength.data()));
}

} // namespace kumquat::protocol
