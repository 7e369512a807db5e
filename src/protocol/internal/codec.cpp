// Encodes and decodes frames with Thrift's memory buffer and compact protocol,
// without a Thrift transport.

#include "protocol/codec.h"

#include "protocol/errorkind.h"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <zlib.h>

#include <memory>

namespace kumquat::protocol {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {

// Shorter frames gain little.
constexpr std::size_t kMinCompressedBytes = 1024;
// Compressed once for all receivers, on a host with a tenth of a processor.
constexpr int kCompressionLevel = 1;

Result<Frame> DecodePlain(std::string_view aBody)
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

Result<Frame> Decompress(const CompressedFrame& aFrame)
{
  const auto malformed = make_error_code(ErrorKind::kMalformedRequest);
  if (aFrame.plainSize <= 0 ||
      static_cast<std::uint32_t>(aFrame.plainSize) > kMaxFrameBytes) {
    return malformed;
  }
  std::string plain(static_cast<std::size_t>(aFrame.plainSize), '\0');
  uLongf size = plain.size();
  const int result =
    uncompress(reinterpret_cast<Bytef*>(plain.data()), &size,
               reinterpret_cast<const Bytef*>(aFrame.bytes.data()),
               static_cast<uLong>(aFrame.bytes.size()));
  if (result != Z_OK || size != plain.size()) {
    return malformed;
  }
  Result<Frame> frame = DecodePlain(plain);
  return frame && frame->__isset.compressed ? Result<Frame>(malformed) : frame;
}

} // namespace

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

std::string CompressFrame(const std::string& aEncoded)
{
  if (aEncoded.size() < kMinCompressedBytes) {
    return aEncoded;
  }
  const std::string_view plain =
    std::string_view(aEncoded).substr(kLengthBytes);
  uLongf size = compressBound(static_cast<uLong>(plain.size()));
  std::string bytes(size, '\0');
  const int result =
    compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
              reinterpret_cast<const Bytef*>(plain.data()),
              static_cast<uLong>(plain.size()), kCompressionLevel);
  if (result != Z_OK || size > plain.size() / 2) {
    return aEncoded;
  }
  bytes.resize(size);
  Frame frame;
  CompressedFrame compressed;
  compressed.__set_bytes(bytes);
  compressed.__set_plainSize(static_cast<std::int32_t>(plain.size()));
  frame.__set_compressed(compressed);
  return EncodeFrame(frame);
}

Result<Frame> DecodeFrame(std::string_view aBody)
{
  Result<Frame> frame = DecodePlain(aBody);
  return frame && frame->__isset.compressed ? Decompress(frame->compressed)
                                            : frame;
}

std::uint32_t DecodeLength(std::string_view aLength)
{
  return boost::endian::load_big_u32(
    reinterpret_cast<const unsigned char*>(aLength.data()));
}

} // namespace kumquat::protocol
