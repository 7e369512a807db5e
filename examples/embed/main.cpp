// Embeds both sides of the host lease: a holder that three guards confirm, and
// what is left of the lease when they fall silent. Time is the program's own.

#include <coordination/hostlease.h>
#include <coordination/leaseguard.h>

#include <cstdint>
#include <iostream>
#include <vector>

using kumquat::TimePoint;
using kumquat::coordination::HostLease;
using kumquat::coordination::LeaseGuard;
using kumquat::coordination::LeaseTiming;
using kumquat::state::HostRef;

int main()
{
  const LeaseTiming timing;
  const HostRef holder{ { "caerdydd-1" }, 1 };
  const std::vector<HostRef> refs = { { { "abertawe-1" }, 1 },
                                      { { "wrecsam-1" }, 1 },
                                      { { "wrecsam-2" }, 1 } };
  HostLease lease(timing, {});
  lease.SetGuards(refs);

  TimePoint now;
  std::int64_t correlation = 0;
  for (const HostRef& ref : refs) {
    LeaseGuard guard(ref, timing, {});
    kumquat::protocol::ConfirmRequest request;
    request.holder.__set_host(holder.host.value);
    request.holder.__set_incarnation(holder.incarnation);
    request.__set_guardIncarnation(ref.incarnation);
    lease.OnSent(++correlation, ref, now);
    const auto reply = guard.OnConfirm(request, now);
    lease.OnReply(correlation, ref.host, reply.confirmed, now);
  }
  const bool held = lease.Holds(now);
  const bool lapsed = !lease.Holds(now + timing.term);
  std::cout << "held: " << held << ", lapsed a term later: " << lapsed << "\n";
  return held && lapsed ? 0 : 1;
}
