// Frames survive the codec; what is no frame is refused.

#include "protocol/codec.h"
#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::protocol {

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(testFrameSurvives);
  CPPUNIT_TEST(testTruncatedFrameIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void testFrameSurvives()
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

  // A peer that dies in the middle of a frame must not be taken at half its
  // word: the reader sees fewer bytes than the frame holds.
  void testTruncatedFrameIsRefused()
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
