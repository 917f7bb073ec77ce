/**
 * Chooses the zone pollers and the relays that distribute the configuration.
 * Each host computes them from its membership view by rendezvous hashing.
 */
import {computeRendezvousRanking} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import type {PeerInfo} from '@savoryspur/schema';

/** Number of daemons of each zone that poll storage at the short period. */
const POLLERS_PER_ZONE = 2;

/** Number of daemons of each zone that forward a version to the rest of the zone. */
const RELAYS_PER_ZONE = 6;

/** Lists the pollers of a zone in rendezvous order. */
export function listZonePollers(
  view: MembershipView,
  zone: string,
): PeerInfo[] {
  return listByRendezvousRank(view, zone, 'config-reader').slice(
    0,
    POLLERS_PER_ZONE,
  );
}

/** Tells whether this host is a poller of its zone. */
export function isZonePoller(view: MembershipView): boolean {
  return listZonePollers(view, view.self.zone).some((peer) =>
    isSelf(view, peer),
  );
}

/** Lists the relays of this host's zone for a version, except this host. */
export function listRelays(view: MembershipView, version: number): PeerInfo[] {
  return listByRelayRank(view, version)
    .slice(0, RELAYS_PER_ZONE)
    .filter((peer) => !isSelf(view, peer));
}

/**
 * Lists the daemons to which this host forwards a version as a relay; empty
 * when this host is not a relay of the version.
 */
export function listRelayTargets(
  view: MembershipView,
  version: number,
): PeerInfo[] {
  const ranked = listByRelayRank(view, version);
  const ownRank = ranked.findIndex((peer) => isSelf(view, peer));
  if (ownRank < 0 || ownRank >= RELAYS_PER_ZONE) return [];
  return ranked.filter(
    (peer, index) =>
      index >= RELAYS_PER_ZONE &&
      index % RELAYS_PER_ZONE === ownRank &&
      !isSelf(view, peer),
  );
}

/**
 * Lists one poller of each other zone: the one at the same rank as this host
 * has in its own zone, or the first one.
 */
export function listCounterpartPollers(view: MembershipView): PeerInfo[] {
  const ownRank = listZonePollers(view, view.self.zone).findIndex((peer) =>
    isSelf(view, peer),
  );
  const counterparts: PeerInfo[] = [];
  for (const zone of view.listZones()) {
    if (zone === view.self.zone) continue;
    const pollers = listZonePollers(view, zone);
    const counterpart = pollers[Math.max(ownRank, 0)] ?? pollers[0];
    if (counterpart) counterparts.push(counterpart);
  }
  return counterparts;
}

/** Lists the pollers of this host's zone, except this host. */
export function listPollersOfOwnZone(view: MembershipView): PeerInfo[] {
  return listZonePollers(view, view.self.zone).filter(
    (peer) => !isSelf(view, peer),
  );
}

/** Lists the daemons of this host's zone; the first ones are the relays. */
function listByRelayRank(view: MembershipView, version: number): PeerInfo[] {
  return listByRendezvousRank(view, view.self.zone, `config-relay:${version}`);
}

/** Lists the alive daemons of a zone in the rendezvous order of a key. */
function listByRendezvousRank(
  view: MembershipView,
  zone: string,
  key: string,
): PeerInfo[] {
  const peers = new Map(view.listAlive(zone).map((peer) => [peer.host, peer]));
  const ranked = computeRendezvousRanking(key, [...peers.keys()]);
  return ranked.flatMap((host) => peers.get(host) ?? []);
}

function isSelf(view: MembershipView, peer: PeerInfo): boolean {
  return peer.host === view.self.host;
}
