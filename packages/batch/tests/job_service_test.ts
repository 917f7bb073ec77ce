import {ErrorCode} from '@savoryspur/common';
import {expect} from 'chai';
import type {InvalidFileError, JobRequest} from '../src/index.js';
import {Fault} from './memory_storage.js';
import {formatLine, readLines, streamLines} from './outcome_checker.js';
import {TEST_SETTINGS, TestFleet, type TestHost} from './test_fleet.js';

describe('input files', () => {
  let fleet: TestFleet;
  let host: TestHost;

  beforeEach(() => {
    fleet = new TestFleet(1);
    host = fleet.hosts[0]!;
  });

  afterEach(() => fleet.stop());

  /** Uploads a file with the text as its content. */
  function createFile(text: string) {
    async function* stream() {
      yield Buffer.from(text);
    }
    const content = stream();
    return fleet.clock.waitSettled(
      host.service.createFile({
        workspace: 'fraser',
        filename: 'lots.jsonl',
        content,
      }),
    );
  }

  const badLines: Array<{name: string; line: string; message: string}> = [
    {name: 'invalid JSON', line: '{"custom_id"', message: 'not JSON'},
    {
      name: 'a missing field',
      line: formatLine('x').replace('"custom_id":"x",', ''),
      message: 'custom_id: found nothing, expected a value',
    },
    {
      name: 'an unsupported method',
      line: formatLine('x').replace('POST', 'GET'),
      message: 'method: found "GET"',
    },
    {
      name: 'an unsupported endpoint',
      line: formatLine('x').replace('/chat/', '/chats/'),
      message: 'url: found "/v1/chats/completions", expected one of',
    },
    {
      name: 'a duplicate custom_id',
      line: formatLine('a'),
      message: 'custom_id "a" was used on line 1',
    },
    {
      name: 'too many bytes',
      line: formatLine('y'.repeat(1024 * 1024)),
      message: 'the line is too long',
    },
  ];
  for (const {name, line, message} of badLines) {
    it(`reports a line with ${name} and stores nothing`, async () => {
      const lines = [formatLine('a'), line, '', formatLine('b')];
      const result = await createFile(lines.join('\n'));
      const error = result._unsafeUnwrapErr() as InvalidFileError;
      expect(error.code).to.equal(ErrorCode.INVALID_INPUT);
      expect(error.faultCount).to.equal(1);
      expect(error.faults[0]!.line).to.equal(2);
      expect(error.faults[0]!.message).to.contain(message);
      expect(fleet.storage.rows.size).to.equal(0);
      expect(fleet.storage.objects.size).to.equal(0);
    });
  }

  it('limits the list of invalid lines but counts all of them', async () => {
    const result = await createFile('x\n'.repeat(700));
    const error = result._unsafeUnwrapErr() as InvalidFileError;
    expect(error.faultCount).to.equal(700);
    expect(error.faults.length).to.equal(50);
  });

  it('refuses an empty file and one with too many items', async () => {
    expect((await createFile('\n \n'))._unsafeUnwrapErr().code).to.equal(
      ErrorCode.INVALID_INPUT,
    );
    const count = TEST_SETTINGS.maxItems + 1;
    const ids = Array.from({length: count}, (value, n) => `i${n}`);
    const result = await createFile(ids.map(formatLine).join('\n'));
    expect(result._unsafeUnwrapErr().message).to.contain('line 1001');
    expect(fleet.storage.objects.size).to.equal(0);
  });

  it('accepts nothing while the object store is unavailable', async () => {
    host.chooseFault = (step) =>
      step === 'object.put' ? Fault.REQUEST_LOST : Fault.NONE;
    const result = await createFile(formatLine('a'));
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.UNAVAILABLE);
    expect(fleet.storage.rows.size).to.equal(0);
  });

  it('returns the content of a file, but not to another workspace', async () => {
    const file = (await createFile(`${formatLine('a')}\n`))._unsafeUnwrap();
    const lines = await readLines(fleet, host.service, 'fraser', file.id);
    expect(lines.map((line) => line.custom_id)).to.deep.equal(['a']);
    const other = await fleet.clock.waitSettled(
      host.service.showFile('irtysh', file.id),
    );
    expect(other._unsafeUnwrapErr().code).to.equal(ErrorCode.NOT_FOUND);
  });
});

describe('submission of jobs', () => {
  let fleet: TestFleet;
  let host: TestHost;
  let request: JobRequest;

  beforeEach(async () => {
    fleet = new TestFleet(1);
    host = fleet.hosts[0]!;
    request = await createRequest(['a', 'b']);
  });

  afterEach(() => fleet.stop());

  async function createRequest(customIds: string[]): Promise<JobRequest> {
    const file = await fleet.clock.waitSettled(
      host.service.createFile({
        workspace: 'fraser',
        filename: 'lots.jsonl',
        content: streamLines(customIds),
      }),
    );
    return {
      workspace: 'fraser',
      inputFileId: file._unsafeUnwrap().id,
      endpoint: '/v1/chat/completions',
      completionWindow: '24h',
      metadata: {lot: '7'},
      idempotencyKey: 'monday',
    };
  }

  function submit(changes: Partial<JobRequest> = {}) {
    const changed = {...request, ...changes};
    return fleet.clock.waitSettled(host.service.submit(changed));
  }

  function countJobs(): number {
    const keys = [...fleet.storage.rows.keys()];
    return keys.filter((key) => key.startsWith('job/')).length;
  }

  it('writes the same few rows however large the job is', async () => {
    const ids = Array.from({length: 900}, (value, n) => `lot-${n}`);
    const large = await createRequest(ids);
    const before = fleet.storage.counts.rowWrites;
    await submit({...large, idempotencyKey: 'large'});
    expect(fleet.storage.counts.rowWrites - before).to.equal(4);
  });

  it('returns the existing job to a repeated request, also with a new upload', async () => {
    const first = (await submit())._unsafeUnwrap();
    const second = (await submit())._unsafeUnwrap();
    const again = await createRequest(['a', 'b']);
    const third = (
      await submit({inputFileId: again.inputFileId})
    )._unsafeUnwrap();
    expect([second.id, third.id]).to.deep.equal([first.id, first.id]);
    expect(countJobs()).to.equal(1);
  });

  it('accepts the idempotency key in the metadata too', async () => {
    const metadata = {job_key: 'tuesday'};
    const changes = {idempotencyKey: undefined, metadata};
    const first = (await submit(changes))._unsafeUnwrap();
    const second = (await submit(changes))._unsafeUnwrap();
    expect(second.id).to.equal(first.id);
  });

  it('refuses other content with the same idempotency key', async () => {
    await submit();
    const other = await createRequest(['a', 'c']);
    const changes: Array<Partial<JobRequest>> = [
      {inputFileId: other.inputFileId},
      {metadata: {lot: '8'}},
      {completionWindow: '2h'},
    ];
    for (const change of changes) {
      const result = await submit(change);
      expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.CONFLICT);
    }
    expect(countJobs()).to.equal(1);
  });

  it('creates one job for concurrent requests with one idempotency key', async () => {
    const results = await Promise.all([submit(), submit(), submit()]);
    const ids = new Set(results.map((result) => result._unsafeUnwrap().id));
    expect(ids.size).to.equal(1);
    expect(countJobs()).to.equal(1);
  });

  it('recovers a submission whose answer is lost by a read-after-write check', async () => {
    let left = 1;
    host.chooseFault = (step) =>
      step === 'table.transact' && left-- > 0 ? Fault.ANSWER_LOST : Fault.NONE;
    expect((await submit()).isOk()).to.equal(true);
    expect(countJobs()).to.equal(1);
  });

  it('returns UNAVAILABLE and creates no job while storage is unavailable', async () => {
    host.chooseFault = () => Fault.REQUEST_LOST;
    const result = await submit();
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.UNAVAILABLE);
    host.chooseFault = () => Fault.NONE;
    expect(countJobs()).to.equal(0);
  });

  it('returns AMBIGUOUS when the outcome of the write cannot be read', async () => {
    let isLost = false;
    host.chooseFault = (step) => {
      if (isLost) return Fault.REQUEST_LOST;
      isLost = step === 'table.transact';
      return isLost ? Fault.ANSWER_LOST : Fault.NONE;
    };
    const result = await submit();
    expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.AMBIGUOUS);
    host.chooseFault = () => Fault.NONE;
    const resent = (await submit())._unsafeUnwrap();
    expect(fleet.storage.rows.has(`job/${resent.id}`)).to.equal(true);
    expect(countJobs()).to.equal(1);
  });

  const badRequests: Array<{changes: Partial<JobRequest>; code: ErrorCode}> = [
    {changes: {completionWindow: 'soon'}, code: ErrorCode.INVALID_INPUT},
    {changes: {endpoint: '/v1/completions'}, code: ErrorCode.INVALID_INPUT},
    {changes: {inputFileId: 'file-x'}, code: ErrorCode.NOT_FOUND},
    {changes: {workspace: 'irtysh'}, code: ErrorCode.NOT_FOUND},
  ];
  for (const {changes, code} of badRequests) {
    it(`answers ${JSON.stringify(changes)} with ${code}`, async () => {
      expect((await submit(changes))._unsafeUnwrapErr().code).to.equal(code);
      expect(countJobs()).to.equal(0);
    });
  }

  it('lists the newest job first, page by page', async () => {
    const ids: string[] = [];
    for (const idempotencyKey of ['a', 'b', 'c']) {
      ids.unshift((await submit({idempotencyKey}))._unsafeUnwrap().id);
      await fleet.clock.waitMs(5);
    }
    const {service} = host;
    const first = await fleet.clock.waitSettled(
      service.list('fraser', {limit: 2}),
    );
    const page = first._unsafeUnwrap();
    expect(page.data.map((job) => job.id)).to.deep.equal(ids.slice(0, 2));
    expect(page.has_more).to.equal(true);
    const rest = await fleet.clock.waitSettled(
      service.list('fraser', {limit: 2, after: page.last_id!}),
    );
    expect(rest._unsafeUnwrap().data.map((job) => job.id)).to.deep.equal([
      ids[2],
    ]);
  });

  it('hides jobs from other workspaces', async () => {
    const job = (await submit())._unsafeUnwrap();
    const {service} = host;
    for (const result of [
      await fleet.clock.waitSettled(service.show('irtysh', job.id)),
      await fleet.clock.waitSettled(service.cancel('irtysh', job.id)),
    ]) {
      expect(result._unsafeUnwrapErr().code).to.equal(ErrorCode.NOT_FOUND);
    }
  });

  it('deletes a file only when no running job uses it', async () => {
    const job = (await submit())._unsafeUnwrap();
    const {service} = host;
    const remove = () =>
      fleet.clock.waitSettled(service.deleteFile('fraser', job.input_file_id));
    const refused = await remove();
    expect(refused._unsafeUnwrapErr().code).to.equal(ErrorCode.CONFLICT);
    host.worker.start();
    await fleet.waitForEnd(job.id);
    expect((await remove()).isOk()).to.equal(true);
    const left = [...fleet.storage.objects.keys()];
    expect(left.every((name) => name.startsWith('results/'))).to.equal(true);
    expect((await submit())._unsafeUnwrap().id).to.equal(job.id);
  });
});
