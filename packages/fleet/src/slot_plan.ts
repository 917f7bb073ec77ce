/** Computes which quota slots of a zone a host should claim or release. */
import type {QuotaSlotHolder, QuotaSlotRow} from '@savoryspur/schema';

/** Input of {@link computeSlotPlan}. */
export interface SlotPlanInput {
  /** Row of the zone's quota slots; undefined when it does not exist. */
  row: QuotaSlotRow | undefined;
  /** Number of quota slots of the zone. */
  zoneSlots: number;
  host: string;
  incarnation: string;
  /** Hosts among which the quota slots are divided, this one included. */
  liveHosts: readonly string[];
  /** Tells whether a host's absence has reached the takeover time. */
  isTakeoverDue: (host: string) => boolean;
}

/** Quota slots to claim and to release. */
export interface SlotPlan {
  /** Slots that no daemon has ever held. */
  claimFresh: number[];
  /** Slots that were released or are taken over from an absent host. */
  claimUsed: number[];
  /** Slots that an earlier incarnation of this host's daemon holds. */
  claimOwn: number[];
  /** Slots to release after their delegations have expired. */
  release: number[];
}

/**
 * Computes the next changes of a host's quota slots. Each host holds at most an
 * even part of the zone's slots, rounded up.
 *
 * @param input - the row and the hosts
 */
export function computeSlotPlan(input: SlotPlanInput): SlotPlan {
  const holders = new Map<number, QuotaSlotHolder>();
  for (const holder of input.row?.holders ?? []) {
    holders.set(holder.slot, holder);
  }
  const plan: SlotPlan = {
    claimFresh: [],
    claimUsed: [],
    claimOwn: [],
    release: [],
  };
  const ownSlots: number[] = [];
  for (let slot = 0; slot < input.zoneSlots; slot++) {
    const holder = holders.get(slot);
    if (holder === undefined) plan.claimFresh.push(slot);
    else if (holder.host === '' || input.isTakeoverDue(holder.host)) {
      plan.claimUsed.push(slot);
    } else if (holder.host === input.host) {
      if (holder.incarnation === input.incarnation) ownSlots.push(slot);
      else plan.claimOwn.push(slot);
    }
  }
  const hostCount = Math.max(1, input.liveHosts.length);
  const maxSlots = Math.ceil(input.zoneSlots / hostCount);
  selectClaims(plan, Math.max(0, maxSlots - ownSlots.length));
  plan.release = ownSlots.slice(
    ownSlots.length - countSurplus(input, holders, ownSlots),
  );
  return plan;
}

/**
 * Limits the claims to a number of slots. The host's own earlier slots go
 * first, then fresh slots, because their token buckets are full.
 */
function selectClaims(plan: SlotPlan, maxSlots: number): void {
  plan.claimOwn = plan.claimOwn.slice(0, maxSlots);
  plan.claimFresh = plan.claimFresh.slice(0, maxSlots - plan.claimOwn.length);
  const claimed = plan.claimOwn.length + plan.claimFresh.length;
  plan.claimUsed = plan.claimUsed.slice(0, maxSlots - claimed);
}

/**
 * Counts the slots to release: those beyond an even part, or one slot when this
 * host holds the most and another host at least two fewer. Among hosts that
 * hold equally many, the first one by name releases.
 */
function countSurplus(
  input: SlotPlanInput,
  holders: Map<number, QuotaSlotHolder>,
  ownSlots: number[],
): number {
  const counts = new Map<string, number>();
  for (const host of input.liveHosts) counts.set(host, 0);
  for (const holder of holders.values()) {
    const count = counts.get(holder.host);
    if (count !== undefined) counts.set(holder.host, count + 1);
  }
  const hostCount = Math.max(1, input.liveHosts.length);
  const maxSlots = Math.ceil(input.zoneSlots / hostCount);
  if (ownSlots.length > maxSlots) return ownSlots.length - maxSlots;
  const minCount = Math.min(...counts.values());
  if (ownSlots.length - minCount < 2) return 0;
  for (const [host, count] of counts) {
    const isEarlierHost = count === ownSlots.length && host < input.host;
    if (count > ownSlots.length || isEarlierHost) return 0;
  }
  return 1;
}
