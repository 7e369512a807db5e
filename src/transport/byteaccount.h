// Counts the bytes of bodies that a host holds for callers and upstreams, by
// purpose, and bounds their sum. Slow senders and readers keep such bytes for
// seconds, and a process that exceeds its memory is killed with all of its
// requests. Used on one thread.

#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace kumquat::transport {

// What bytes are held for.
enum class BytePurpose
{
  // Bodies of callers' requests, from their first byte until the request ends.
  kRequest,
  // Bodies of responses until the caller has taken them.
  kResponse,
};

inline constexpr std::array kBytePurposes = { BytePurpose::kRequest,
                                              BytePurpose::kResponse };

// The name of the purpose in metrics.
std::string_view BytePurposeName(BytePurpose aPurpose);

class ByteAccount : public std::enable_shared_from_this<ByteAccount>
{
public:
  // Bytes that are held until the reservation is destroyed.
  class Reservation
  {
  public:
    Reservation(std::shared_ptr<ByteAccount> aAccount, BytePurpose aPurpose);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Raises the reservation to aBytes. Returns false, and changes nothing, if
    // the account has no room for them.
    bool GrowTo(std::size_t aBytes);
    std::size_t Bytes() const { return this->bytes; }

  private:
    const std::shared_ptr<ByteAccount> account;
    const BytePurpose purpose;
    std::size_t bytes = 0;
  };

  using ReservationPtr = std::shared_ptr<Reservation>;

  // aBound: bytes that may be held at a time. A part of it is kept for small
  // bodies, so that requests with small bodies go on while large ones fill the
  // rest.
  static std::shared_ptr<ByteAccount> Create(std::size_t aBound);

  // An empty reservation.
  ReservationPtr Open(BytePurpose aPurpose);

  std::size_t Held(BytePurpose aPurpose) const;
  std::size_t Held() const;
  // The most that was ever held at a time, over all purposes.
  std::size_t Peak() const { return this->peak; }
  std::size_t Bound() const { return this->bound; }
  // How often there was no room for a body.
  std::size_t Refusals(BytePurpose aPurpose) const;

private:
  struct Use
  {
    std::size_t held = 0;
    std::size_t refusals = 0;
  };

  explicit ByteAccount(std::size_t aBound);

  // Replaces a reservation of aOld bytes by one of aNew bytes.
  bool TryChange(BytePurpose aPurpose, std::size_t aOld, std::size_t aNew);
  Use& UseOf(BytePurpose aPurpose);
  const Use& UseOf(BytePurpose aPurpose) const;

  const std::size_t bound;
  std::array<Use, kBytePurposes.size()> uses;
  std::size_t peak = 0;
};

} // namespace kumquat::transport
