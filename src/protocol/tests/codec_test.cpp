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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace kumquat::protocol
