/** Model of how forwarded calls spread over the other hosts: the real choice, in virtual time. */
import {ManualClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {type ForwardPeer, ForwardPeers} from '@savoryspur/serving';
import {SeededRandom} from '@savoryspur/testkit';
import {createPeer} from './forwarding_hosts.js';
import type {SlopeRow} from './slope_section.js';

/** Sizes of the model: a fleet, and the hosts that are cut off. */
export interface SpreadModel {
  daemons: number;
  zones: number;
  /** Number of hosts of the first zone that are cut off. */
  cutOffHosts: number;
  /** Whether the heartbeats of these hosts say so already. */
  isAnnounced: boolean;
  requestsPerSecond: number;
  durationMs: number;
  seconds: number;
}

/** Maximum number of hosts that are asked to make one call, as in the serving package. */
const MAX_PEERS_PER_CALL = 5;

const MS_PER_SECOND = 1000;

/** Fleet of the growth plan: a zone of 38 hosts. */
const DESIGN = {
  daemons: 410,
  zones: 11,
  requestsPerSecond: 51.2,
  durationMs: 740,
};

const MODELS: SpreadModel[] = [
  {...DESIGN, cutOffHosts: 38, isAnnounced: true, seconds: 10},
  {...DESIGN, cutOffHosts: 38, isAnnounced: false, seconds: 8},
  {...DESIGN, cutOffHosts: 1, isAnnounced: true, seconds: 30},
  // A region of three zones: calls are forwarded in the region only.
  {
    ...DESIGN,
    daemons: 114,
    zones: 3,
    cutOffHosts: 38,
    isAnnounced: true,
    seconds: 10,
  },
];

/** Call in progress in the model. */
interface ModelCall {
  endMs: number;
  origin: ForwardPeers;
  peer: PeerInfo;
}

/** Runs the model for the growth plan. */
export function measureSpread(): SlopeRow[] {
  return MODELS.map((model) => runSpread(model));
}

/**
 * Runs the model with Poisson arrivals at each host that is cut off.
 *
 * @returns requests a second that the other hosts get on average and at most,
 *     refusals a second of one host that is cut off, and the share of calls
 *     that leave its zone
 */
export function runSpread(model: SpreadModel): SlopeRow {
  const clock = new ManualClock();
  const random = new SeededRandom(1);
  const peers = createPeers(model);
  const origins = peers
    .slice(0, model.cutOffHosts)
    .map(({peer}) => createOrigin(peer, peers, clock, random));
  const served = new Map<string, number>();
  const cutOff = new Set(
    peers.slice(0, model.cutOffHosts).map(({peer}) => peer.host),
  );
  let [calls, refusals, crossings, failed] = [0, 0, 0, 0];
  let active: ModelCall[] = [];
  const endMs = model.seconds * MS_PER_SECOND;
  const meanGapMs =
    MS_PER_SECOND / (model.requestsPerSecond * model.cutOffHosts);
  while (clock.now() < endMs) {
    clock.advance(random.takeExponential(meanGapMs));
    active = finishCalls(active, clock.now());
    const origin = origins[Math.floor(random.takeUniform() * origins.length)]!;
    const zone = `zone-${Math.floor(random.takeUniform() * model.zones)}`;
    const {peer, refused} = chooseHost(origin, zone, cutOff);
    calls += 1;
    refusals += refused;
    if (!peer) {
      failed += 1;
      continue;
    }
    origin.beginCall(peer);
    origin.recordSuccess(peer, {id: 'server', zone});
    active.push({endMs: clock.now() + model.durationMs, origin, peer});
    served.set(peer.host, (served.get(peer.host) ?? 0) + 1);
    if (peer.zone !== 'zone-0') crossings += 1;
  }
  const others = model.daemons - model.cutOffHosts;
  return {
    daemons: model.daemons,
    zones: model.zones,
    cutOffHosts: model.cutOffHosts,
    isAnnounced: Number(model.isAnnounced),
    modelSeconds: model.seconds,
    calls,
    failedCalls: failed,
    servingHosts: served.size,
    meanRequestsPerSecond: (calls - failed) / others / model.seconds,
    maxRequestsPerSecond: Math.max(0, ...served.values()) / model.seconds,
    refusalsPerOriginSecond: refusals / model.cutOffHosts / model.seconds,
    shareOutsideZone: crossings / Math.max(1, calls - failed),
  };
}

function createPeers(model: SpreadModel): ForwardPeer[] {
  const zoneHosts = Math.max(
    model.cutOffHosts,
    Math.ceil(model.daemons / model.zones),
  );
  return Array.from({length: model.daemons}, (unused, i) => {
    const zone =
      i < zoneHosts ? 0 : 1 + ((i - zoneHosts) % Math.max(1, model.zones - 1));
    return {
      peer: createPeer(i, `zone-${zone}`, 1),
      isCutOff: model.isAnnounced && i < model.cutOffHosts,
    };
  });
}

function createOrigin(
  self: PeerInfo,
  peers: readonly ForwardPeer[],
  clock: ManualClock,
  random: SeededRandom,
): ForwardPeers {
  const others = peers.filter(({peer}) => peer.host !== self.host);
  const members = {self, listForwardPeers: () => others};
  return new ForwardPeers({
    members,
    isPeerReachable: () => true,
    clock,
    random: () => random.takeUniform(),
  });
}

/** Asks hosts until one is not cut off. */
function chooseHost(
  origin: ForwardPeers,
  zone: string,
  cutOff: ReadonlySet<string>,
): {peer?: PeerInfo; refused: number} {
  const tried = new Set<string>();
  while (tried.size < MAX_PEERS_PER_CALL) {
    const peer = origin.choose({id: 'server', zone}, tried);
    if (!peer) break;
    if (!cutOff.has(peer.host)) return {peer, refused: tried.size};
    origin.recordLoss(peer, zone);
    tried.add(peer.host);
  }
  return {refused: tried.size};
}

function finishCalls(active: ModelCall[], nowMs: number): ModelCall[] {
  let finished = 0;
  for (const {endMs, origin, peer} of active) {
    if (endMs > nowMs) break;
    origin.finishCall(peer);
    finished += 1;
  }
  return finished > 0 ? active.slice(finished) : active;
}
