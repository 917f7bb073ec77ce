import {MemoryEventLog} from '@savoryspur/common';
import {type BatchJobRow, BatchState} from '@savoryspur/schema';
import {expect} from 'chai';
import {JobDirectory} from '../src/jobs/job_directory.js';
import {encodeJson, formatJobName} from '../src/jobs/job_store.js';

/** Workspaces; the rows of the first two are in one partition, those of the third in another. */
const FIRST = 'workspace-1';
const SAME_PARTITION = 'workspace-2';
const OTHER_PARTITION = 'workspace-3';

const JOB_ID = 'nightly';

function createRow(workspace: string): BatchJobRow {
  return {
    jobId: JOB_ID,
    workspace,
    route: 'reports',
    host: 'reports.example',
    state: BatchState.OPEN,
    items: [],
    payload: 'payload',
    acceptedMs: 0,
    dueMs: 1,
    abandonMs: 2,
    runner: '',
  };
}

/** A change of the table; a deletion when it has no version. */
interface Change {
  workspace: string;
  version?: number;
}

const CASES: Array<{name: string; changes: Change[]; known: string[]}> = [
  {
    name: 'keeps jobs of one id whose rows are in two partitions',
    changes: [
      {workspace: FIRST, version: 2},
      {workspace: OTHER_PARTITION, version: 1},
    ],
    known: [FIRST, OTHER_PARTITION],
  },
  {
    name: 'removes only the job whose row was deleted',
    changes: [
      {workspace: FIRST, version: 1},
      {workspace: OTHER_PARTITION, version: 2},
      {workspace: OTHER_PARTITION},
    ],
    known: [FIRST],
  },
  {
    name: 'replaces a job whose row another workspace has written since',
    changes: [
      {workspace: FIRST, version: 1},
      {workspace: SAME_PARTITION, version: 2},
    ],
    known: [SAME_PARTITION],
  },
];

describe('local copy of the job table', () => {
  for (const {name, changes, known} of CASES) {
    it(name, () => {
      const directory = new JobDirectory(new MemoryEventLog());
      for (const {workspace, version} of changes) {
        directory.apply({
          ...formatJobName(workspace, JOB_ID),
          value: version ? encodeJson(createRow(workspace)) : undefined,
          version: version ?? 0,
        });
      }
      const workspaces = [FIRST, SAME_PARTITION, OTHER_PARTITION];
      const found = workspaces.filter((workspace) =>
        directory.find({workspace, jobId: JOB_ID}),
      );
      expect(found).to.deep.equal(known);
      const listed = directory.list().map(({row}) => row.workspace);
      expect(listed.sort()).to.deep.equal(known);
      for (const workspace of workspaces) {
        const isOther = known.some((owner) => owner !== workspace);
        const identity = {workspace, jobId: JOB_ID};
        expect(directory.isIdOfOther(identity), workspace).to.equal(isOther);
      }
    });
  }
});
