/** Which slots of a zone a host should take or give up. */
import type {QuotaSlotHolder, QuotaSlotRow} from '@savoryspur/schema';

/** What the decision depends on. */
export interface SlotPlanInput {
  row: QuotaSlotRow | undefined;
  /** Slots of the zone. */
  zoneSlots: number;
  host: string;
  incarnation: string;
  /** Hosts of the zone that may hold slots, this one included. */
  liveHosts: readonly string[];
  /** Tells whether a host has been gone for long enough to be replaced. */
  isGone: (host: string) => boolean;
}

/** Slots to take and whether to give one up. */
export interface SlotPlan {
  /** Slots that nobody ever held. */
  takeFresh: number[];
  /** Slots that were released or whose host is gone. */
  takeUsed: number[];
  /** Slots that an earlier run of this host's daemon held. */
  takeOwn: number[];
  /** Slots to release after their delegations have lapsed. */
  giveUp: number[];
}

/**
 * Computes the next changes of a host's slots.
 *
 * @param input - the row and the hosts
 */
export function computeSlotPlan(input: SlotPlanInput): SlotPlan {
  const holders = new Map<number, QuotaSlotHolder>();
  for (const holder of input.row?.holders ?? []) {
    holders.set(holder.slot, holder);
  }
  const plan: SlotPlan = {
    takeFresh: [],
    takeUsed: [],
    takeOwn: [],
    giveUp: [],
  };
  const mine: number[] = [];
  for (let slot = 0; slot < input.zoneSlots; slot++) {
    const holder = holders.get(slot);
    if (holder === undefined) plan.takeFresh.push(slot);
    else if (holder.host === '' || input.isGone(holder.host)) {
      plan.takeUsed.push(slot);
    } else if (holder.host === input.host) {
      if (holder.incarnation === input.incarnation) mine.push(slot);
      else plan.takeOwn.push(slot);
    }
  }
  const hosts = Math.max(1, input.liveHosts.length);
  const most = Math.ceil(input.zoneSlots / hosts);
  selectTaken(plan, Math.max(0, most - mine.length));
  plan.giveUp = mine.slice(mine.length - countSurplus(input, holders, mine));
  return plan;
}

/** Own earlier slots go first, then those with the fullest budgets. */
function selectTaken(plan: SlotPlan, most: number): void {
  plan.takeOwn = plan.takeOwn.slice(0, most);
  plan.takeFresh = plan.takeFresh.slice(0, most - plan.takeOwn.length);
  const taken = plan.takeOwn.length + plan.takeFresh.length;
  plan.takeUsed = plan.takeUsed.slice(0, most - taken);
}

/** Counts the slots to give up while another host lacks some. */
function countSurplus(
  input: SlotPlanInput,
  holders: Map<number, QuotaSlotHolder>,
  mine: number[],
): number {
  const counts = new Map<string, number>();
  for (const host of input.liveHosts) counts.set(host, 0);
  for (const holder of holders.values()) {
    const count = counts.get(holder.host);
    if (count !== undefined) counts.set(holder.host, count + 1);
  }
  const hosts = Math.max(1, input.liveHosts.length);
  const most = Math.ceil(input.zoneSlots / hosts);
  if (mine.length > most) return mine.length - most;
  const least = Math.min(...counts.values());
  if (mine.length - least < 2) return 0;
  for (const [host, count] of counts) {
    const isBefore = count === mine.length && host < input.host;
    if (count > mine.length || isBefore) return 0;
  }
  return 1;
}
