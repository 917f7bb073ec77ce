/** Bytes, memory and CPU time of the configuration on one host. */
import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {computeDigest, ConfigFollower} from '@savoryspur/config';
import type {EnvironmentLoader} from '@savoryspur/config';
import {
  ChangeAction,
  EntityKind,
  type EnvironmentChange,
} from '@savoryspur/schema';
import {createDocument} from './fleet_fakes.js';
import {computeLine} from './least_squares.js';
import {measureCpu, measureHeap} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';

/** Number of workspaces and servers in each measured document. */
const DOCUMENT_SIZES = [
  {workspaces: 500, servers: 400},
  {workspaces: 2000, servers: 1600},
  {workspaces: 5800, servers: 4600},
];

/** Number of changes over which the cost of one change is averaged. */
const CHANGE_COUNT = 40;

/** Measures configuration followers with documents of several sizes. */
export async function measureConfig(): Promise<SlopeSection> {
  const rows: SlopeRow[] = [];
  for (const size of DOCUMENT_SIZES) {
    rows.push(await measureFollower(size.workspaces, size.servers));
  }
  const line = (name: string) =>
    computeLine(
      rows.map((row) => ({x: row.workspaces! + row.servers!, y: row[name]!})),
    );
  return {
    name: 'config',
    rows,
    lines: {
      heapBytesPerEntity: line('heapBytes'),
      cpuMsPerChangeByEntity: line('cpuMsPerChange'),
      snapshotBytesPerEntity: line('snapshotBytes'),
    },
  };
}

async function measureFollower(
  workspaces: number,
  servers: number,
): Promise<SlopeRow> {
  const {bytes, value: follower} = await measureHeap(() => {
    const document = createDocument(workspaces, servers);
    const digest = computeDigest(document);
    const created = createFollower();
    created.update({version: 1, digest, documentDigest: digest, document});
    return created;
  });
  let cpuSeconds = 0;
  let changeBytes = 0;
  for (let i = 0; i < CHANGE_COUNT; i++) {
    const change = createChange(follower, i);
    changeBytes = JSON.stringify(change).length;
    cpuSeconds += await measureCpu(() => {
      if (!follower.updateWithChanges([change]))
        throw new Error('the follower refused a change');
    });
  }
  return {
    workspaces,
    servers,
    heapBytes: bytes,
    cpuMsPerChange: (cpuSeconds / CHANGE_COUNT) * 1e3,
    changeBytes,
    snapshotBytes: JSON.stringify(follower.getState()).length,
  };
}

function createFollower(): ConfigFollower {
  return new ConfigFollower({
    environment: 'capacity',
    loader: undefined as unknown as EnvironmentLoader,
    clock: new SystemClock(),
    log: new MemoryEventLog(),
    pollMs: 1000,
  });
}

/** Creates a change that sets the rate of one workspace. */
function createChange(
  follower: ConfigFollower,
  index: number,
): EnvironmentChange {
  const {version, document, documentDigest} = follower.getState();
  const workspaces = [...document.workspaces];
  const changed = {...workspaces[index]!, rate: 100 + index};
  workspaces[index] = changed;
  return {
    version: version + 1,
    digest: computeDigest({...document, workspaces}),
    documentDigest,
    delta: {
      upserts: [{kind: EntityKind.WORKSPACES, value: {...changed}}],
      removals: [],
    },
    action: ChangeAction.APPLY,
    operator: 'operator',
    changedAt: '2026-01-01T00:00:00.000Z',
    nonce: 'a0b1c2d3e4f5a6b7c8d9',
  };
}
