// One duty's thread with its event loop.

#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace kumquat::transport {

class IoThread
{
public:
  IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;
  // Stops and joins.
  ~IoThread();

  boost::asio::io_context& Context() { return this->context; }

  // aName is the thread's name in the system's tools, 15 letters at most.
  void Start(std::string aName);
  void Stop();
  bool IsStopped() const { return this->context.stopped(); }

  // Runs aWork on this thread; safe from any thread.
  void Post(std::function<void()> aWork);

private:
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

} // namespace kumquat::transport
