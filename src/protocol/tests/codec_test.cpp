// Tests that a frame is decoded as it was encoded, and that an invalid one is
// rejected.

#include "protocol/codec.h"
#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::protocol {

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(testDecodedFrameEqualsEncodedOne);
  CPPUNIT_TEST(testTruncatedFrameIsRejected);
  CPPUNIT_TEST(testRowsOfManyUpstreamsAreCompressed);
  CPPUNIT_TEST(testInvalidCompressedFramesAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void testDecodedFrameEqualsEncodedOne()
  {
    Frame frame;
    frame.__set_correlation(42);
    Forward forward;
    forward.__set_key("pitch-7");
    forward.__set_body(std::string("\0\xff", 2));
    frame.__set_forward(forward);
    const std::string bytes = EncodeFrame(frame);
    CPPUNIT_ASSERT_EQUAL(bytes.size() - kLengthBytes,
                         std::size_t{ DecodeLength(bytes) });
    const auto decoded =
      DecodeFrame(std::string_view(bytes).substr(kLengthBytes));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(*decoded == frame);
  }

  // Guards against a frame that is accepted in part: when a peer dies while it
  // sends a frame, the reader gets fewer bytes than the frame has.
  void testTruncatedFrameIsRejected()
  {
    Frame frame;
    Forward forward;
    forward.__set_body("some bytes");
    frame.__set_forward(forward);
    const std::string bytes = EncodeFrame(frame);
    const auto decoded = DecodeFrame(
      std::string_view(bytes).substr(kLengthBytes, bytes.size() - 8));
    CPPUNIT_ASSERT(decoded.has_error());
    CPPUNIT_ASSERT(decoded.error() == ErrorKind::kMalformedRequest);
  }

  void testRowsOfManyUpstreamsAreCompressed()
  {
    const Frame frame = MakeTableChange(50);
    const std::string plain = EncodeFrame(frame);
    const std::string compressed = CompressFrame(plain);
    CPPUNIT_ASSERT(compressed.size() * 5 < plain.size());
    const auto decoded =
      DecodeFrame(std::string_view(compressed).substr(kLengthBytes));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(*decoded == frame);
    const std::string shortFrame = EncodeFrame(MakeTableChange(1));
    CPPUNIT_ASSERT_EQUAL(shortFrame, CompressFrame(shortFrame));
  }

  // Guards against a peer whose frame makes this host allocate any number of
  // bytes, or decode without end.
  void testInvalidCompressedFramesAreRejected()
  {
    Frame frame;
    CompressedFrame compressed;
    compressed.__set_bytes("no zlib");
    for (const std::int32_t size : { -1, 0, 100, 1 << 30 }) {
      compressed.__set_plainSize(size);
      frame.__set_compressed(compressed);
      CPPUNIT_ASSERT(
        DecodeFrame(EncodeFrame(frame).substr(kLengthBytes)).has_error());
    }
    Frame inner;
    compressed.__set_bytes(std::string(4096, 'x'));
    inner.__set_compressed(compressed);
    const std::string twice = CompressFrame(EncodeFrame(inner));
    CPPUNIT_ASSERT(DecodeFrame(twice.substr(kLengthBytes)).has_error());
  }

private:
  static Frame MakeTableChange(int aRows)
  {
    TableChange change;
    change.__set_table("upstreams");
    for (int i = 0; i < aRows; ++i) {
      const std::string number = std::to_string(100'003 * (i + 1));
      TableRow row;
      row.__set_key("i-" + number);
      row.__set_value(
        R"({"service":"stoc","address":"127.1.10.15:8641","centre":"caerdydd",)"
        R"("release":"v1","slots":3,"leaving":false,"cold":0,"sequence":1,)"
        R"("started":17770346)" +
        number + "}");
      row.__set_version(i + 1);
      change.rows.push_back(row);
    }
    Frame frame;
    frame.__set_tableChange(change);
    return frame;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace kumquat::protocol
