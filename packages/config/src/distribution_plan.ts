/** Who polls and who tells whom, computed by each host from its view. */
import {computeRendezvousRanking} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import type {PeerInfo} from '@savoryspur/schema';

/** Daemons of each zone that poll the platform at the short period. */
const READERS_PER_ZONE = 2;

/** Daemons that pass a change on in their zone. */
const RELAYS_PER_ZONE = 6;

/** Lists the readers of a zone, the first one first. */
export function listReaders(view: MembershipView, zone: string): PeerInfo[] {
  return listRanked(view, zone, 'config-reader').slice(0, READERS_PER_ZONE);
}

/** Tells whether this host is a reader of its zone. */
export function isReader(view: MembershipView): boolean {
  return listReaders(view, view.self.zone).some((peer) => isSelf(view, peer));
}

/** Lists the relays of this host's zone for a version, without this host. */
export function listRelays(view: MembershipView, version: number): PeerInfo[] {
  return listZone(view, version)
    .slice(0, RELAYS_PER_ZONE)
    .filter((peer) => !isSelf(view, peer));
}

/** Lists the daemons to which this host passes a version on as a relay. */
export function listRelayShare(
  view: MembershipView,
  version: number,
): PeerInfo[] {
  const ranked = listZone(view, version);
  const own = ranked.findIndex((peer) => isSelf(view, peer));
  if (own < 0 || own >= RELAYS_PER_ZONE) return [];
  return ranked.filter(
    (peer, index) =>
      index >= RELAYS_PER_ZONE &&
      index % RELAYS_PER_ZONE === own &&
      !isSelf(view, peer),
  );
}

/** Lists one reader of each other zone, the same place as this host has. */
export function listZonePartners(view: MembershipView): PeerInfo[] {
  const own = listReaders(view, view.self.zone).findIndex((peer) =>
    isSelf(view, peer),
  );
  const partners: PeerInfo[] = [];
  for (const zone of view.listZones()) {
    if (zone === view.self.zone) continue;
    const readers = listReaders(view, zone);
    const partner = readers[Math.max(own, 0)] ?? readers[0];
    if (partner) partners.push(partner);
  }
  return partners;
}

/** Lists the readers of this host's zone, without this host. */
export function listZoneReaders(view: MembershipView): PeerInfo[] {
  return listReaders(view, view.self.zone).filter(
    (peer) => !isSelf(view, peer),
  );
}

function listZone(view: MembershipView, version: number): PeerInfo[] {
  return listRanked(view, view.self.zone, `config-relay:${version}`);
}

function listRanked(
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
