// Calls of the HTTP client, as coroutines over Beast.

#include "transport/httpclient.h"

#include "framework/clock.h"
#include "transport/httpstatus.h"
#include "transport/internal/bodyreader.h"
#include "transport/internal/connection.h"
#include "transport/internal/dialer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

using RequestMessage = http::request<http::span_body<const char>>;

// The body stays in the request, which must outlive the message.
RequestMessage MakeMessage(const std::string& aAddress,
                           const HttpRequest& aRequest)
{
  RequestMessage message;
  message.version(11);
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  message.set(http::field::host, aAddress);
  for (const HttpHeader& header : aRequest.headers) {
    if (beast::iequals(header.name, "Host")) {
      message.set(http::field::host, header.value);
    } else {
      message.insert(header.name, header.value);
    }
  }
  message.body() = { aRequest.Body().data(), aRequest.Body().size() };
  message.prepare_payload();
  return message;
}

// An upstream that closed an idle connection leaves an end of stream in it;
// a request sent there would be lost with its fate unknown.
bool IsUsable(Connection& aConnection)
{
  // Bytes beyond the last answer belong to no request.
  if (aConnection.buffer.size() > 0 ||
      std::chrono::steady_clock::now() >= aConnection.usableUntil) {
    return false;
  }
  tcp::socket& socket = aConnection.stream.socket();
  beast::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

bool IsTimeout(const beast::error_code& aError)
{
  return aError == beast::error::timeout;
}

// The server's idle time, from "Keep-Alive: timeout=5", less what a request
// may be on its way when the server closes; and the client's own bound.
TimePoint UsableUntil(const HttpResponse& aResponse,
                      std::chrono::milliseconds aLongestRest)
{
  const TimePoint now = std::chrono::steady_clock::now();
  const TimePoint own =
    aLongestRest.count() > 0 ? now + aLongestRest : TimePoint::max();
  constexpr std::string_view kTimeout = "timeout=";
  constexpr std::chrono::milliseconds kClosing{ 500 };
  const std::string_view hint = aResponse.Header("Keep-Alive");
  const auto found = hint.find(kTimeout);
  if (found == std::string_view::npos) {
    return own;
  }
  int seconds = 0;
  const std::string_view number = hint.substr(found + kTimeout.size());
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::min<TimePoint>(own,
                             now + std::chrono::seconds(seconds) - kClosing);
}

// A host behind a cut link acknowledges nothing; see
// SetUnacknowledgedTimeout.
void NoteError(Connection& aConnection, const beast::error_code& aError)
{
  aConnection.isSilent |= aError == asio::error::timed_out;
}

// Requests with longer bodies watch for a response while they are sent. Shorter
// ones fit into the buffers of a connection.
constexpr std::size_t kLongBodyBytes = 16U << 10U;

enum class SendResult
{
  kSent,
  // The response began before the whole request was sent, and the rest will
  // not be.
  kAnsweredEarly,
  kTimedOut,
  kFailed,
};

// Shared by the sending of a request and the watch for an early response.
struct SendState
{
  bool isSending = true;
  bool isAnsweredEarly = false;
};

struct DoubtEntry
{
  AnswerDoubt doubt;
  std::string_view name;
};

constexpr std::array<DoubtEntry, 4> kDoubts{ {
  { AnswerDoubt::kForeign, "foreign" },
  { AnswerDoubt::kUnidentified, "unidentified" },
  { AnswerDoubt::kSameConnection, "same-connection" },
  { AnswerDoubt::kCutHead, "cut-head" },
} };

// Whether the text holds the beginning of a status line, as "HTTP/1.1 200".
bool HoldsStatusLine(std::string_view aText)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  for (auto at = aText.find(kVersion); at != std::string_view::npos;
       at = aText.find(kVersion, at + 1)) {
    const std::string_view rest = aText.substr(at + kVersion.size(), 5);
    if (rest.size() == 5 && rest[1] == ' ' &&
        std::ranges::all_of(rest.substr(2), [](char aOne) {
          return aOne >= '0' && aOne <= '9';
        })) {
      return true;
    }
  }
  return false;
}

// An answer that breaks off within a line of its head, with the next answer
// behind it, is parsed as one head with fields of both.
bool IsOfTwoAnswers(const ResponseParser::value_type& aHead)
{
  return HoldsStatusLine(
           std::string_view(aHead.reason().data(), aHead.reason().size())) ||
         std::any_of(aHead.begin(), aHead.end(), [](const auto& aField) {
           return HoldsStatusLine(
             std::string_view(aField.value().data(), aField.value().size()));
         });
}

bool HasCarried(const Connection& aConnection, const HttpRequest& aRequest)
{
  return aRequest.carriers &&
         std::ranges::find(*aRequest.carriers, aConnection.number) !=
           aRequest.carriers->end();
}

} // namespace

std::string_view AnswerDoubtName(AnswerDoubt aDoubt)
{
  return std::ranges::find(kDoubts, aDoubt, &DoubtEntry::doubt)->name;
}

class HttpClient::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext, Options aOptions)
    : context(aContext)
    , options(std::move(aOptions))
  {
  }

  // The dialer is made here, as it refers to this object.
  void Init()
  {
    Dialer::Options dialing;
    dialing.connectTimeout = this->options.connectTimeout;
    dialing.unacknowledged = this->options.unacknowledged;
    dialing.localAddress = this->options.localAddress;
    dialing.hooks = this->options.dial;
    dialing.onSpare = [state =
                         this->weak_from_this()](const std::string& aAddress,
                                                 ConnectionPtr aConnection) {
      if (const auto self = state.lock()) {
        self->PutIdle(aAddress, std::move(aConnection));
      }
    };
    this->dialer = std::make_shared<Dialer>(this->context, std::move(dialing));
  }

  CallId Start(const std::string& aAddress, HttpRequest aRequest,
               std::chrono::milliseconds aTimeout, Done aDone)
  {
    const CallId call = ++this->lastCall;
    this->running.emplace(call, nullptr);
    asio::co_spawn(this->context,
                   this->Run(this->shared_from_this(), call, aAddress,
                             std::move(aRequest), aTimeout, std::move(aDone)),
                   asio::detached);
    return call;
  }

  // A call has its connection here from before its first byte is sent, and one
  // that is not here any more sends none.
  bool Cancel(CallId aCall)
  {
    const auto found = this->running.find(aCall);
    if (found == this->running.end()) {
      return true;
    }
    const ConnectionPtr connection = found->second;
    this->running.erase(found);
    if (connection) {
      connection->stream.cancel();
    }
    return connection != nullptr;
  }

private:
  // A body whose rest the receiver reads at its own pace.
  class Pieces : public std::enable_shared_from_this<Pieces>
  {
  public:
    Pieces(std::shared_ptr<State> aState, std::string aAddress,
           ConnectionPtr aConnection, std::shared_ptr<ResponseParser> aParser,
           TimePoint aUntil)
      : state(std::move(aState))
      , address(std::move(aAddress))
      , connection(std::move(aConnection))
      , parser(std::move(aParser))
      , until(aUntil)
    {
    }

    // Not read to its end: what is left in the connection is nobody's.
    ~Pieces()
    {
      beast::error_code ignored;
      this->connection->stream.socket().close(ignored);
    }

    Pieces(const Pieces&) = delete;
    Pieces& operator=(const Pieces&) = delete;

    void Read(std::function<void(Result<std::string>)> aTake)
    {
      asio::co_spawn(
        this->state->context,
        [](std::shared_ptr<Pieces> aSelf,
           std::function<void(Result<std::string>)> aThen)
          -> asio::awaitable<void> {
          const TimePoint pieceUntil =
            std::min(aSelf->until, std::chrono::steady_clock::now() +
                                     aSelf->state->options.pieceTimeout);
          aThen(co_await ReadPiece(*aSelf->connection, *aSelf->parser,
                                   aSelf->state->options.pieceBytes,
                                   pieceUntil));
        }(this->shared_from_this(), std::move(aTake)),
        asio::detached);
    }

  private:
    std::shared_ptr<State> state;
    std::string address;
    ConnectionPtr connection;
    std::shared_ptr<ResponseParser> parser;
    // The body is cut then, however steadily it comes.
    const TimePoint until;
  };

  // Until when a call reads.
  struct ReadLimits
  {
    // The head, and a body that is held whole.
    TimePoint whole;
    // A body that is streamed.
    TimePoint streamed;
  };

  asio::awaitable<void> Run([[maybe_unused]] std::shared_ptr<State> aSelf,
                            CallId aCall, std::string aAddress,
                            HttpRequest aRequest,
                            std::chrono::milliseconds aTimeout, Done aDone)
  {
    const auto deadline = std::chrono::steady_clock::now() + aTimeout;
    Result<HttpResponse> result =
      co_await this->Exchange(aCall, aAddress, std::move(aRequest), deadline);
    if (this->running.erase(aCall) == 0) {
      result = make_error_code(TransportError::kCancelled);
    }
    aDone(std::move(result));
  }

  asio::awaitable<Result<HttpResponse>> Exchange(
    CallId aCall, const std::string& aAddress, HttpRequest aRequest,
    std::chrono::steady_clock::time_point aDeadline)
  {
    ConnectionPtr connection = aRequest.needsOwnConnection
                                 ? nullptr
                                 : this->TakeIdle(aAddress, aRequest);
    if (!connection) {
      auto connected = co_await this->dialer->Dial(aAddress, aDeadline);
      if (!connected) {
        co_return connected.error();
      }
      connection = std::move(*connected);
    }
    const auto found = this->running.find(aCall);
    if (found == this->running.end()) {
      this->PutIdle(aAddress, connection);
      co_return make_error_code(TransportError::kCancelled);
    }
    // Failure: a host short of processor time reads requests seconds late, with
    // their callers' closes right behind them, and sent them on all the same.
    // Looked at after connecting, as that takes another turn of the loop.
    if (aRequest.link && aRequest.link->isThere && !aRequest.link->isThere()) {
      this->PutIdle(aAddress, connection);
      co_return make_error_code(TransportError::kCallerGone);
    }
    if (aRequest.isStillValid &&
        !aRequest.isStillValid(connection->connectedAt)) {
      this->PutIdle(aAddress, connection);
      co_return make_error_code(TransportError::kWithdrawn);
    }
    found->second = connection;
    this->NoteCarrier(*connection, aRequest);
    connection->stream.expires_at(aDeadline);
    connection->sentAt = std::chrono::steady_clock::now();
    const ReadLimits limits{ .whole = aDeadline,
                             .streamed = connection->sentAt +
                                         (aRequest.bodyTimeout.count() > 0
                                            ? aRequest.bodyTimeout
                                            : this->options.streamTimeout) };
    const std::string echo(aRequest.Header(this->options.echoHeader));
    const SendResult sent = co_await SendRequest(
      *connection, MakeMessage(aAddress, aRequest), aRequest.Body().size());
    if (sent == SendResult::kFailed || sent == SendResult::kTimedOut) {
      this->ReportSilence(aAddress, *connection);
      co_return make_error_code(sent == SendResult::kTimedOut
                                  ? TransportError::kTimeout
                                  : TransportError::kBroken);
    }
    Result<HttpResponse> response = co_await this->ReadAnswer(
      aAddress, connection, echo,
      sent == SendResult::kSent && !aRequest.needsOwnConnection, limits);
    this->ReportSilence(aAddress, *connection);
    co_return response;
  }

  void NoteCarrier(Connection& aConnection, const HttpRequest& aRequest)
  {
    if (aConnection.number == 0) {
      aConnection.number = ++this->lastConnection;
    }
    if (aRequest.carriers) {
      aRequest.carriers->push_back(aConnection.number);
    }
  }

  void TellDoubt(AnswerDoubt aDoubt) const
  {
    if (this->options.onDoubt) {
      this->options.onDoubt(aDoubt);
    }
  }

  void ReportSilence(const std::string& aAddress,
                     const Connection& aConnection) const
  {
    if (!this->options.dial || !aConnection.isSilent) {
      return;
    }
    if (aConnection.relay.empty()) {
      this->options.dial->onOutcome(aAddress, DialOutcome::kDirectSilent,
                                    aConnection.sentAt);
    } else {
      this->options.dial->onRelayLost(aConnection.relay);
    }
  }

  // Stops sending a long body when the response begins before its end: a server
  // that rejects a request early may never read the rest.
  static asio::awaitable<SendResult> SendRequest(Connection& aConnection,
                                                 RequestMessage aMessage,
                                                 std::size_t aBodyBytes)
  {
    const auto state = std::make_shared<SendState>();
    if (aBodyBytes > kLongBodyBytes) {
      tcp::socket& socket = aConnection.stream.socket();
      socket.async_wait(tcp::socket::wait_read,
                        [state, &socket](const beast::error_code& aError) {
                          if (!aError && state->isSending) {
                            state->isAnsweredEarly = true;
                            socket.cancel();
                          }
                        });
    }
    const auto [error, bytes] =
      co_await http::async_write(aConnection.stream, aMessage, kAwait);
    state->isSending = false;
    NoteError(aConnection, error);
    if (state->isAnsweredEarly) {
      co_return error ? SendResult::kAnsweredEarly : SendResult::kSent;
    }
    if (error) {
      co_return IsTimeout(error) ? SendResult::kTimedOut : SendResult::kFailed;
    }
    co_return SendResult::kSent;
  }

  asio::awaitable<Result<HttpResponse>> ReadAnswer(std::string aAddress,
                                                   ConnectionPtr aConnection,
                                                   std::string aEcho,
                                                   bool aReusable,
                                                   ReadLimits aLimits)
  {
    // An answer to a request that was given up on may come late, in the place
    // of the one that is due; behind it the right one may still follow.
    constexpr int kMostForeign = 3;
    // Of their bodies; they are not wanted and may have no end.
    std::size_t foreignBytes = 64U << 10U;
    for (int foreign = 0; foreign < kMostForeign; ++foreign) {
      std::shared_ptr<ResponseParser> parser;
      Result<HttpResponse> head =
        co_await this->ReadFinalHead(aConnection, parser);
      if (!head) {
        co_return head.error();
      }
      const auto doubt = this->DoubtAbout(*head, aEcho);
      if (doubt) {
        this->TellDoubt(*doubt);
      }
      if (doubt != AnswerDoubt::kForeign) {
        // Behind an error without an id, the request's answer may follow.
        const bool isReusable = aReusable && foreign == 0 && !doubt;
        co_return co_await this->ReadBody(
          aAddress, aConnection, parser, std::move(*head), isReusable, aLimits);
      }
      if (!co_await DiscardBody(*aConnection, *parser, foreignBytes,
                                aLimits.whole)) {
        break;
      }
    }
    co_return make_error_code(TransportError::kCrossed);
  }

  void TellProgress() const
  {
    if (this->options.onProgress) {
      this->options.onProgress();
    }
  }

  // Empty for the request's own answer.
  std::optional<AnswerDoubt> DoubtAbout(const HttpResponse& aResponse,
                                        const std::string& aEcho) const
  {
    const std::string_view echo = aResponse.Header(this->options.echoHeader);
    if (echo == aEcho) {
      return std::nullopt;
    }
    const bool isUnidentified = !this->options.errorsNeedEcho && echo.empty() &&
                                aResponse.status >= status::kFirstError;
    return isUnidentified ? AnswerDoubt::kUnidentified : AnswerDoubt::kForeign;
  }

  // Reads over interim answers, also those that bear the request's id.
  asio::awaitable<Result<HttpResponse>> ReadFinalHead(
    ConnectionPtr aConnection, std::shared_ptr<ResponseParser>& aParser)
  {
    constexpr int kMostInterim = 8;
    for (int interim = 0; interim <= kMostInterim; ++interim) {
      aParser = std::make_shared<ResponseParser>();
      Result<HttpResponse> head =
        co_await this->ReadHead(aConnection, *aParser);
      if (!head || head->status >= status::kOk) {
        co_return head;
      }
    }
    co_return make_error_code(TransportError::kCrossed);
  }

  asio::awaitable<Result<HttpResponse>> ReadHead(ConnectionPtr aConnection,
                                                 ResponseParser& aParser)
  {
    aParser.header_limit(
      static_cast<std::uint32_t>(this->options.maxHeaderBytes));
    aParser.body_limit(boost::none);
    const auto [error, bytes] = co_await http::async_read_header(
      aConnection->stream, aConnection->buffer, aParser, kAwait);
    if (error) {
      NoteError(*aConnection, error);
      co_return make_error_code(IsTimeout(error) ? TransportError::kTimeout
                                                 : TransportError::kBroken);
    }
    aConnection->heardAt = std::chrono::steady_clock::now();
    this->TellProgress();
    if (IsOfTwoAnswers(aParser.get())) {
      this->TellDoubt(AnswerDoubt::kCutHead);
      co_return make_error_code(TransportError::kMalformed);
    }
    HttpResponse response;
    response.connection = aConnection->number;
    response.status = static_cast<int>(aParser.get().result_int());
    for (const auto& field : aParser.get()) {
      response.headers.push_back(
        { std::string(field.name_string()), std::string(field.value()) });
    }
    co_return response;
  }

  asio::awaitable<Result<HttpResponse>> ReadBody(
    std::string aAddress, ConnectionPtr aConnection,
    std::shared_ptr<ResponseParser> aParser, HttpResponse aHead, bool aReusable,
    ReadLimits aLimits)
  {
    const std::shared_ptr<ResponseParser> parser = std::move(aParser);
    HttpResponse response = std::move(aHead);
    if (const auto length = parser->content_length()) {
      response.length = *length;
    }
    if (this->options.bytes) {
      response.held = this->options.bytes->Open(BytePurpose::kResponse);
    }
    const bool isByProgress = this->options.bodyProgress.count() > 0;
    const TimePoint end = isByProgress ? std::chrono::steady_clock::now() +
                                           this->options.bodyTimeout
                                       : aLimits.whole;
    while (!parser->is_done() && this->MayHoldMore(response)) {
      const TimePoint until =
        isByProgress ? std::min(end, std::chrono::steady_clock::now() +
                                       this->options.bodyProgress)
                     : end;
      Result<std::string> piece = co_await ReadPiece(
        *aConnection, *parser, this->options.pieceBytes, until);
      if (!piece) {
        co_return piece.error();
      }
      this->TellProgress();
      response.body += *piece;
    }
    if (parser->is_done()) {
      // Bytes past the body belong to no request.
      if (parser->get().keep_alive() && !parser->need_eof() && aReusable &&
          aConnection->buffer.size() == 0) {
        aConnection->usableUntil =
          UsableUntil(response, this->options.longestRest);
        this->PutIdle(aAddress, std::move(aConnection));
      }
      co_return response;
    }
    auto pieces = std::make_shared<Pieces>(
      this->shared_from_this(), std::move(aAddress), std::move(aConnection),
      parser, aLimits.streamed);
    response.rest = [pieces](std::function<void(Result<std::string>)> aTake) {
      pieces->Read(std::move(aTake));
    };
    co_return response;
  }

  bool MayHoldMore(const HttpResponse& aResponse) const
  {
    const std::size_t next = aResponse.body.size() + this->options.pieceBytes;
    const std::size_t most = std::min<std::size_t>(
      next, aResponse.length.value_or(std::numeric_limits<std::size_t>::max()));
    return aResponse.body.size() < this->options.wholeBodyBytes &&
           (!aResponse.held || aResponse.held->GrowTo(most));
  }

  // The connection that was used last and has not carried the request: a second
  // answer to an earlier send may still come on one that has.
  ConnectionPtr TakeIdle(const std::string& aAddress,
                         const HttpRequest& aRequest)
  {
    std::vector<ConnectionPtr>& idle = this->idleByAddress[aAddress];
    for (auto place = idle.end(); place != idle.begin();) {
      --place;
      if (HasCarried(**place, aRequest)) {
        this->TellDoubt(AnswerDoubt::kSameConnection);
        continue;
      }
      ConnectionPtr connection = std::move(*place);
      place = idle.erase(place);
      if (IsUsable(*connection) && this->MayReuse(aAddress, *connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  bool MayReuse(const std::string& aAddress, const Connection& aConnection)
  {
    if (!this->options.dial) {
      return true;
    }
    const bool isUsable = this->options.dial->mayReuse(
      aAddress, aConnection.relay, aConnection.heardAt);
    if (isUsable && !aConnection.relay.empty() &&
        this->options.dial->takeProbe(aAddress)) {
      this->dialer->Probe(aAddress);
    }
    return isUsable;
  }

  void PutIdle(const std::string& aAddress, ConnectionPtr aConnection)
  {
    std::vector<ConnectionPtr>& idle = this->idleByAddress[aAddress];
    if (idle.size() >= this->options.maxIdle) {
      return;
    }
    aConnection->stream.expires_never();
    idle.push_back(std::move(aConnection));
  }

  asio::io_context& context;
  const Options options;
  std::shared_ptr<Dialer> dialer;
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idleByAddress;
  // Calls whose aDone has not run; null until there is a connection.
  std::unordered_map<CallId, ConnectionPtr> running;
  CallId lastCall = 0;
  std::uint64_t lastConnection = 0;
};

HttpClient::HttpClient(asio::io_context& aContext, Options aOptions)
  : state(std::make_shared<State>(aContext, std::move(aOptions)))
{
  this->state->Init();
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::Send(const std::string& aAddress,
                                    HttpRequest aRequest,
                                    std::chrono::milliseconds aTimeout,
                                    Done aDone)
{
  return this->state->Start(aAddress, std::move(aRequest), aTimeout,
                            std::move(aDone));
}

bool HttpClient::Cancel(CallId aCall)
{
  return this->state->Cancel(aCall);
}

} // namespace kumquat::transport
