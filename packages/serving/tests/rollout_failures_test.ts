/** Tests rollouts while the deciding daemon, the store or the order fails. */
import {RolloutPhase} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  OLD,
  RolloutFleet,
  TARGET,
  WriteFault,
} from './support/rollout_fleet.js';

const {WATCHING, FINISHING, COMPLETED, ROLLED_BACK} = RolloutPhase;

/** Runs a fleet until its rollout is in a phase. */
async function runUntil(
  fleet: RolloutFleet,
  phase: RolloutPhase,
): Promise<void> {
  for (let step = 0; step < 800; step += 1) {
    if (fleet.getRow()?.phase === phase) return;
    await fleet.run(1);
  }
  throw new Error(`no ${phase}, but ${fleet.getRow()?.phase}`);
}

/** Creates a fleet with an order whose rollout is in a phase. */
async function createFleet(phase: RolloutPhase): Promise<RolloutFleet> {
  const fleet = new RolloutFleet(3);
  fleet.putOrder();
  await runUntil(fleet, phase);
  return fleet;
}

describe('Rollout', () => {
  it('makes no store call without an order', async () => {
    const fleet = new RolloutFleet(2);
    await fleet.run(50);
    expect(fleet.store.calls).to.equal(0);
    expect(fleet.request()).to.equal(TARGET);
  });

  it('completes a good version some seconds before the deadline', async () => {
    const fleet = await createFleet(COMPLETED);
    expect(fleet.clock.now()).to.be.within(50_000, 58_000);
    await fleet.run(2);
    expect(fleet.getStatus()).to.include({phase: COMPLETED, target: TARGET});
    expect(fleet.request(0, OLD)).to.equal(undefined);
    expect(fleet.request(1, OLD)).to.equal(undefined);
  });

  it('gives a rolled-back version nothing, continuations included', async () => {
    const fleet = new RolloutFleet(3);
    fleet.badFraction = 1;
    fleet.putOrder();
    await runUntil(fleet, ROLLED_BACK);
    await fleet.run(2);
    expect(fleet.clock.now()).to.be.below(10_000);
    expect(fleet.getStatus()).to.include({phase: ROLLED_BACK, target: TARGET});
    for (const index of [0, 1, 2]) {
      expect(fleet.request(index)).to.equal(OLD);
      expect(fleet.request(index, TARGET)).to.equal(undefined);
    }
  });

  for (const phase of [WATCHING, FINISHING]) {
    it(`goes on from the row when the decider is killed in ${phase}`, async () => {
      const fleet = await createFleet(phase);
      fleet.addDaemon(0);
      fleet.setOwner(1);
      await fleet.advance();
      expect(fleet.daemons[1]?.rollout.isDecider()).to.equal(true);
      expect(fleet.getRow()?.phase).to.equal(phase);
      await runUntil(fleet, COMPLETED);
      expect(fleet.clock.now()).to.be.below(60_000);
    });

    it(`grants the target nothing at a decider that was paused in ${phase}`, async () => {
      const fleet = await createFleet(phase);
      const [paused] = fleet.daemons;
      if (paused) paused.isPaused = true;
      // Another daemon rolls back meanwhile.
      fleet.badFraction = 1;
      fleet.setOwner(1);
      await runUntil(fleet, ROLLED_BACK);
      await fleet.run(45);
      expect(fleet.request(0)).to.not.equal(TARGET);
      expect(fleet.request(0, TARGET)).to.equal(undefined);
    });

    it(`has no effect of a decider that is cut off in ${phase}, after its lease`, async () => {
      const fleet = await createFleet(phase);
      const [cutOff] = fleet.daemons;
      if (cutOff) cutOff.isCutOff = true;
      fleet.setOwner(1);
      if (cutOff) cutOff.isOwner = true;
      await fleet.run(45, 20, 1);
      expect(fleet.request(0)).to.not.equal(TARGET);
      expect(fleet.getRow()?.phase).to.equal(
        phase === WATCHING ? WATCHING : COMPLETED,
      );
      if (cutOff) cutOff.isCutOff = false;
      if (cutOff) cutOff.isOwner = false;
      await fleet.run(2, 20, 1);
      expect(cutOff?.rollout.isDecider()).to.equal(false);
    });

    it(`continues after an outage of the store in ${phase}`, async () => {
      const fleet = await createFleet(phase);
      fleet.store.isDown = true;
      await fleet.run(40);
      expect(fleet.request()).to.not.equal(undefined);
      fleet.store.isDown = false;
      await runUntil(fleet, COMPLETED);
      expect(fleet.clock.now()).to.be.below(60_000);
    });
  }

  for (const phase of [COMPLETED, ROLLED_BACK]) {
    it(`has its status written by the next owner when the decider is killed after the row is ${phase}`, async () => {
      const fleet = new RolloutFleet(3);
      fleet.badFraction = phase === ROLLED_BACK ? 1 : 0;
      fleet.putOrder();
      await runUntil(fleet, phase);
      fleet.store.rows.delete('status/model');
      fleet.addDaemon(0);
      fleet.setOwner(1);
      await fleet.run(2);
      expect(fleet.getStatus()).to.include({phase, target: TARGET});
    });
  }

  it('keeps the newer state when a replaced decider writes its status late', async () => {
    const fleet = await createFleet(WATCHING);
    fleet.badFraction = 1;
    const [first, second] = fleet.daemons;
    if (first) first.isPaused = true;
    if (second) second.isOwner = true;
    await fleet.run(100, 20, 1);
    expect(fleet.getRow()?.phase).to.equal(ROLLED_BACK);
    // The paused daemon still takes the rollout for its own, and wakes first.
    await first?.rollout.advance(true);
    expect(fleet.getStatus()?.phase).to.equal(ROLLED_BACK);
    expect(fleet.getRow()?.phase).to.equal(ROLLED_BACK);
  });

  it('rolls back in memory while the store is down, and writes it later', async () => {
    const fleet = await createFleet(WATCHING);
    await fleet.run(20);
    fleet.store.isDown = true;
    fleet.badFraction = 1;
    await fleet.run(30);
    const {requests} = fleet.daemons[0]?.rollout.getCounts() ?? {requests: 0};
    expect(requests).to.be.above(0);
    expect(fleet.request()).to.equal(OLD);
    fleet.store.isDown = false;
    await runUntil(fleet, ROLLED_BACK);
  });

  for (const phase of [FINISHING, COMPLETED, ROLLED_BACK]) {
    for (const fault of Object.values(WriteFault)) {
      it(`reaches ${phase} when writes around it fail ${fault} they take effect`, async () => {
        const fleet = new RolloutFleet(3);
        fleet.badFraction = phase === ROLLED_BACK ? 1 : 0;
        fleet.putOrder();
        for (let step = 0; step < 700; step += 1) {
          if (step % 7 === 0) fleet.store.nextFault = fault;
          await fleet.run(1);
          if (fleet.getRow()?.phase === phase) break;
        }
        expect(fleet.getRow()?.phase).to.equal(phase);
        const isEnded = phase !== FINISHING;
        await fleet.run(5);
        if (isEnded) expect(fleet.getStatus()?.phase).to.equal(phase);
        expect(
          fleet.daemons.filter((d) => d.rollout.isDecider()),
        ).to.have.length(1);
      });
    }
  }

  it('lets the one of two owners decide that claimed last', async () => {
    const fleet = await createFleet(WATCHING);
    const [first, second] = fleet.daemons;
    if (second) second.isOwner = true;
    await fleet.advance();
    await fleet.advance(1000);
    const deciders = [first, second].filter((d) => d?.rollout.isDecider());
    expect(deciders).to.have.length(1);
    for (let i = 0; i < 100; i += 1) fleet.request(0);
    for (let i = 0; i < 100; i += 1) fleet.request(1);
    const total = fleet.countServed(OLD) + fleet.countServed(TARGET);
    expect(fleet.countServed(TARGET)).to.be.at.most(0.1 * total + 50);
  });
});

describe('Order of a rollout', () => {
  it('changes nothing when it is repeated', async () => {
    const fleet = await createFleet(COMPLETED);
    await fleet.run(10);
    const {calls} = fleet.store;
    const before = fleet.getRow();
    await fleet.run(50);
    expect(fleet.getRow()).to.deep.equal(before);
    expect(fleet.store.calls).to.equal(calls);
  });

  it('starts the next rollout after one that has ended', async () => {
    const fleet = await createFleet(COMPLETED);
    fleet.putOrder({target: OLD});
    await fleet.run(5);
    expect(fleet.getRow()).to.include({target: OLD, phase: WATCHING});
    expect(fleet.daemons[0]?.rollout.getUse(OLD)).to.equal('observed');
    expect(fleet.getStatus()).to.include({phase: WATCHING, target: OLD});
    await runUntil(fleet, COMPLETED);
    expect(fleet.request(1, TARGET)).to.equal(undefined);
  });

  it('ends the current rollout as rolled back when it names another target', async () => {
    const fleet = await createFleet(WATCHING);
    fleet.putOrder({target: 'v3'});
    await fleet.run(5);
    expect(fleet.getRow()).to.include({target: 'v3', phase: WATCHING});
    expect(fleet.getRow()?.retired).to.include(TARGET);
    expect(fleet.getRow()?.history[0]).to.include({phase: ROLLED_BACK});
    expect(fleet.request(0, TARGET)).to.equal(undefined);
  });

  it('rolls back when it is removed, but not while a daemon has not read it', async () => {
    const fleet = await createFleet(WATCHING);
    const order = fleet.order;
    fleet.order = undefined;
    fleet.ordersVersion -= 1;
    await fleet.run(5);
    expect(fleet.getRow()?.phase).to.equal(WATCHING);
    fleet.order = order;
    fleet.removeOrder();
    await fleet.run(5);
    expect(fleet.getRow()?.phase).to.equal(ROLLED_BACK);
    expect(fleet.getStatus()?.reason).to.equal('the order was removed');
  });

  it('changes nothing when it is invalid, and says why', async () => {
    const fleet = new RolloutFleet(2);
    const rejection = 'durationS: found -1, expected a number above 0';
    fleet.putOrder({rejection});
    await fleet.run(5);
    expect(fleet.getStatus()).to.include({
      phase: ROLLED_BACK,
      reason: rejection,
    });
    expect(fleet.request(0, TARGET)).to.equal(TARGET);
    expect(fleet.request(1, OLD)).to.equal(OLD);
  });

  it('waits for servers of the target until the deadline', async () => {
    const fleet = new RolloutFleet(2);
    fleet.targetServers = 0;
    fleet.putOrder();
    await fleet.run(590);
    expect(fleet.getRow()?.phase).to.equal(WATCHING);
    await fleet.run(15);
    expect(fleet.getRow()?.phase).to.equal(ROLLED_BACK);
    expect(fleet.getStatus()?.reason).to.contain('no server of the target');
  });

  it('completes without traffic', async () => {
    const fleet = new RolloutFleet(2);
    fleet.putOrder();
    await fleet.run(590, 0);
    expect(fleet.getRow()?.phase).to.equal(COMPLETED);
  });
});

describe('Use of versions by a daemon that decides standalone', () => {
  it('excludes the target until it is in force, and the old version after that', async () => {
    const fleet = await createFleet(WATCHING);
    const standalone = fleet.daemons[2]?.rollout;
    expect(standalone?.isStandaloneAllowed(TARGET)).to.equal(false);
    expect(standalone?.isStandaloneAllowed(OLD)).to.equal(true);
    await runUntil(fleet, FINISHING);
    await fleet.advance();
    expect(standalone?.isStandaloneAllowed(TARGET)).to.equal(false);
    await runUntil(fleet, COMPLETED);
    await fleet.advance();
    expect(standalone?.isStandaloneAllowed(TARGET)).to.equal(true);
    expect(standalone?.isStandaloneAllowed(OLD)).to.equal(false);
  });

  it('excludes the old version on a daemon that is cut off when the completion is due', async () => {
    const fleet = await createFleet(WATCHING);
    const daemon = fleet.daemons[2];
    if (daemon) daemon.isCutOff = true;
    expect(daemon?.rollout.isStandaloneAllowed(OLD)).to.equal(true);
    await runUntil(fleet, COMPLETED);
    expect(daemon?.rollout.isStandaloneAllowed(OLD)).to.equal(false);
  });
});

describe('Exposure of the target', () => {
  it('stays within the bound over many changes of the decider', async () => {
    const fleet = new RolloutFleet(5);
    fleet.putOrder();
    let seed = 7;
    for (let step = 0; step < 500; step += 1) {
      seed = (seed * 1103515245 + 12345) % 2147483648;
      const index = seed % 5;
      // A former decider goes on, is killed, or is cut off with some of the requests.
      if (step % 9 === 0) fleet.setOwner(index);
      if (step % 31 === 0) fleet.addDaemon((index + 1) % 5);
      if (step % 43 === 0)
        fleet.daemons.forEach((d, i) => (d.isCutOff = i === index));
      if (step % 50 === 0) fleet.store.isDown = step % 100 === 0 && step > 0;
      await fleet.run(1, 10);
      await fleet.run(1, 3, (index + 2) % 5);
      const total = fleet.countServed(OLD) + fleet.countServed(TARGET);
      if (fleet.getRow()?.phase === COMPLETED) break;
      expect(fleet.countServed(TARGET)).to.be.at.most(0.1 * total + 50);
    }
    expect(fleet.countServed(TARGET)).to.be.above(0);
  });
});
