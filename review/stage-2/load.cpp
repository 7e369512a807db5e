#include "load.h"

#include <random>

namespace stage {

const char* EndName(End aEnd)
{
  switch (aEnd) {
    case End::kAnswered:
      return "answered";
    case End::kClosed:
      return "connection closed without an answer";
    case End::kTimeout:
      return "no answer";
    case End::kMalformed:
      return "bytes that are no answer";
    case End::kNotSent:
      return "not sent";
  }
  return "";
}

std::string MakeGet(const std::string& aHost, const std::string& aTarget,
                    const std::string& aId, std::int64_t aDeadlineMs)
{
  std::string text = "GET " + aTarget;
  text += " HTTP/1.1\r\nHost: ";
  text += aHost;
  text += "\r\nRequest-Id: ";
  text += aId;
  text += "\r\nDeadline-Ms: ";
  text += std::to_string(aDeadlineMs);
  text += "\r\n\r\n";
  return text;
}

Load::Load(LoadOptions aOptions,
           std::vector<std::pair<std::string, std::string>> aAddresses,
           Record& aRecord)
  : options(std::move(aOptions))
  , addresses(std::move(aAddresses))
  , record(aRecord)
{
  for (std::size_t host = 0; host < this->addresses.size(); ++host) {
    for (int i = 0; i < this->options.clientsPerHost; ++i) {
      this->threads.emplace_back([this, host] { this->Run(host); });
    }
  }
}

Load::~Load()
{
  this->Stop();
}

void Load::Stop()
{
  this->isStopped = true;
  for (std::thread& one : this->threads) {
    if (one.joinable()) {
      one.join();
    }
  }
}

std::vector<Sent> Load::All()
{
  const std::lock_guard lock(this->mutex);
  return this->sent;
}

void Load::Run(std::size_t aHost)
{
  std::mt19937 random(std::random_device{}());
  const auto& [name, address] = this->addresses[aHost];
  StreamPtr stream;
  int number = 0;
  while (!this->isStopped) {
    SleepMs(this->options.pauseMs + static_cast<std::int64_t>(random() % 20));
    // A connection that was closed while it was idle takes no request.
    if (stream && stream->IsPeerGone()) {
      stream.reset();
    }
    if (!stream) {
      stream = Connect(address);
      number = 0;
      if (!stream) {
        SleepMs(100);
        continue;
      }
    }
    Sent one;
    one.id = NewRequestId();
    one.host = name;
    one.method = this->options.method;
    one.numberOnConnection = ++number;
    std::string request =
      this->options.method + " " + this->options.path + one.id +
      " HTTP/1.1\r\nHost: " + this->options.hostName +
      "\r\nRequest-Id: " + one.id +
      "\r\nDeadline-Ms: " + std::to_string(this->options.deadlineMs) + "\r\n";
    if (this->options.isKeyed) {
      request += "Shard-Key: " + std::to_string(random() % 65536) + "\r\n";
    }
    if (!this->options.body.empty()) {
      request +=
        "Content-Length: " + std::to_string(this->options.body.size()) + "\r\n";
    }
    request += "\r\n" + this->options.body;
    one.sentAt = NowMs();
    if (stream->Write(request)) {
      Message answer;
      const ReadResult result =
        stream->Read(answer, true, this->options.deadlineMs + 500);
      one.end = result == ReadResult::kMessage     ? End::kAnswered
                : result == ReadResult::kTimeout   ? End::kTimeout
                : result == ReadResult::kMalformed ? End::kMalformed
                                                   : End::kClosed;
      one.status = result == ReadResult::kMessage ? answer.Status() : 0;
      one.isSigned = !answer.Header("Response-Signature").empty();
      one.isOwnBody = answer.Header("Request-Id") == one.id &&
                      answer.body.starts_with("body of " + one.id + " ");
      if (result != ReadResult::kMessage ||
          answer.Header("Connection") == "close") {
        stream.reset();
      }
    } else {
      stream.reset();
    }
    one.endedAt = NowMs();
    if (this->options.isRecorded) {
      this->record.Line(
        "client " + one.method + " " + one.id + " to " + one.host +
        ", number " + std::to_string(one.numberOnConnection) +
        " of its connection, sent at " + std::to_string(one.sentAt) +
        " ms: " + EndName(one.end) + " " + std::to_string(one.status));
    }
    const std::lock_guard lock(this->mutex);
    this->sent.push_back(one);
  }
}

Instance::OnRun Runs::Hook()
{
  return [this](const Message& aMessage, const Instance& aInstance) {
    const std::string id = aMessage.Header("Request-Id");
    {
      const std::lock_guard lock(this->mutex);
      this->runs[id].push_back(aInstance.Options().id);
    }
    this->record.Line("instance " + aInstance.Options().id + " runs " + id);
  };
}

std::vector<std::string> Runs::Of(const std::string& aId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->runs.find(aId);
  return found == this->runs.end() ? std::vector<std::string>{} : found->second;
}

std::size_t Runs::Count()
{
  const std::lock_guard lock(this->mutex);
  return this->runs.size();
}

} // namespace stage
