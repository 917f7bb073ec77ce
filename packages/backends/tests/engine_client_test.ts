import {
  BackendConnections,
  BackendRefusal,
  HttpEngineClient,
} from '@savoryspur/backends';
import {ErrorCode, SavoryspurError} from '@savoryspur/common';
import {expect} from 'chai';
import {
  type FaultyHandler,
  FaultyServer,
  formatEvents,
  writeStreamHead,
} from './faulty_server.js';

const TIMEOUTS = {
  connectTimeoutMs: 300,
  firstByteTimeoutMs: 300,
  idleTimeoutMs: 300,
};

/** Event numbers that a stream yielded, and the code of its error. */
interface StreamOutcome {
  numbers: number[];
  code?: ErrorCode;
}

describe('HttpEngineClient', () => {
  let server: FaultyServer;
  let serverUrl: string;
  let connections: BackendConnections;
  let client: HttpEngineClient;

  beforeEach(async () => {
    server = new FaultyServer((request, answer) => answer.end());
    serverUrl = await server.start();
    connections = new BackendConnections({
      maxIdleMs: 5000,
      maxConnections: 4,
    });
    client = new HttpEngineClient(connections);
  });
  afterEach(async () => {
    await connections.close();
    await server.stop();
  });

  function createCall(signal = new AbortController().signal) {
    return {
      serverUrl,
      path: '/v1/chat/completions',
      body: {messages: []},
      requestId: 'req-1',
      signal,
      timeouts: TIMEOUTS,
    };
  }

  async function readStream(): Promise<StreamOutcome> {
    const numbers: number[] = [];
    try {
      for await (const chunk of client.stream(createCall())) {
        numbers.push(chunk.sequence);
      }
      return {numbers};
    } catch (thrown) {
      if (thrown instanceof SavoryspurError) {
        return {numbers, code: thrown.code};
      }
      throw thrown;
    }
  }

  /** Handlers of the initial request of a stream and of its resumptions, with the expected outcome. */
  const streams: Array<{
    title: string;
    first: FaultyHandler;
    resume?: FaultyHandler;
    expected: StreamOutcome;
  }> = [
    {
      title: 'yields all events of a complete stream',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([0, 1, 2])}data: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1, 2]},
    },
    {
      title: 'drops duplicate events',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([0, 0, 1, 0, 2])}data: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1, 2]},
    },
    {
      title: 'resumes a stream whose connection is closed',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.write(formatEvents([0, 1]), () => answer.destroy());
      },
      resume: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        const after = Number(
          new URL(`http://x${request.path}`).searchParams.get('after'),
        );
        answer.end(`${formatEvents([after + 1, after + 2])}data: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1, 2, 3]},
    },
    {
      title: 'resumes after a gap',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.write(formatEvents([0, 2]));
      },
      resume: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([1, 2])}data: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1, 2]},
    },
    {
      title: 'resumes a stream after its idle timeout',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.write(formatEvents([0]));
      },
      resume: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([1])}data: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1]},
    },
    {
      title: 'fails a truncated stream that cannot be resumed',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(formatEvents([0, 1]));
      },
      resume: (request, answer) => {
        answer.writeHead(404, {'x-request-id': 'req-1'}).end('{}');
      },
      expected: {numbers: [0, 1], code: ErrorCode.BROKEN_ANSWER},
    },
    {
      title: 'resumes when the end-of-stream event follows a gap',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([0])}id: 3\ndata: [DONE]\n\n`);
      },
      resume: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.end(`${formatEvents([1, 2])}id: 3\ndata: [DONE]\n\n`);
      },
      expected: {numbers: [0, 1, 2]},
    },
    {
      title: 'resumes at an event that belongs to another answer',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-1');
        answer.write('id: 0\ndata: {"id":"chatcmpl-1","n":0}\n\n');
        answer.write('id: 1\ndata: {"id":"chatcmpl-9","n":1}\n\n');
        answer.end(
          'id: 2\ndata: {"id":"chatcmpl-1","n":2}\n\ndata: [DONE]\n\n',
        );
      },
      resume: (request, answer) => {
        if (!request.path.endsWith('after=0')) throw new Error(request.path);
        writeStreamHead(answer, 'req-1');
        answer.write('id: 1\ndata: {"id":"chatcmpl-1","n":1}\n\n');
        answer.end(
          'id: 2\ndata: {"id":"chatcmpl-1","n":2}\n\ndata: [DONE]\n\n',
        );
      },
      expected: {numbers: [0, 1, 2]},
    },
    {
      title: 'rejects the stream of another request',
      first: (request, answer) => {
        writeStreamHead(answer, 'req-0');
        answer.end(`${formatEvents([0, 1])}data: [DONE]\n\n`);
      },
      resume: (request, answer) => {
        answer.writeHead(404, {'x-request-id': 'req-1'}).end('{}');
      },
      expected: {numbers: [], code: ErrorCode.BROKEN_ANSWER},
    },
    {
      title: 'fails a stream after the maximum number of resumptions',
      first: (request, answer) => answer.destroy(),
      resume: (request, answer) => answer.destroy(),
      expected: {numbers: [], code: ErrorCode.BROKEN_ANSWER},
    },
  ];

  for (const {title, first, resume, expected} of streams) {
    it(title, async () => {
      server.handler = (request, answer) => {
        if (request.path.endsWith('/cancel')) answer.writeHead(204).end();
        else if (request.method === 'GET') resume?.(request, answer);
        else first(request, answer);
      };
      expect(await readStream()).to.deep.equal(expected);
      const cancels = server.seen.filter((r) => r.path.endsWith('/cancel'));
      expect(cancels.length).to.equal(expected.code ? 1 : 0);
      expect(server.listSeen('/v1/streams').length).to.be.at.most(4);
      expect(client.counters.resumedStreams > 0).to.equal(Boolean(resume));
    });
  }

  const completeCalls: Array<{
    title: string;
    handler: FaultyHandler;
    code: ErrorCode | undefined;
  }> = [
    {
      title: 'returns a complete answer',
      handler: (r, answer) => {
        answer.writeHead(200, {'x-request-id': 'req-1'}).end('{"a":1}');
      },
      code: undefined,
    },
    {
      title: 'rejects the answer to another request',
      handler: (r, answer) => {
        answer.writeHead(200, {'x-request-id': 'req-9'}).end('{"a":1}');
      },
      code: ErrorCode.BROKEN_ANSWER,
    },
    {
      title: 'rejects an answer without a request id',
      handler: (r, answer) => {
        answer.writeHead(200).end('{"a":1}');
      },
      code: ErrorCode.BROKEN_ANSWER,
    },
    {
      title: 'rejects an answer shorter than its content length',
      handler: (r, answer) => {
        answer.writeHead(200, {'x-request-id': 'req-1', 'content-length': 50});
        answer.write('{"a":1}', () => answer.destroy());
      },
      code: ErrorCode.BROKEN_ANSWER,
    },
    {
      title:
        'rejects truncated JSON when the end of the connection ends the body',
      handler: (r, answer) => {
        answer.useChunkedEncodingByDefault = false;
        answer.writeHead(200, {'x-request-id': 'req-1', connection: 'close'});
        answer.end('{"a":');
      },
      code: ErrorCode.BROKEN_ANSWER,
    },
    {
      title: 'times out while waiting for the first byte',
      handler: () => undefined,
      code: ErrorCode.TIMEOUT,
    },
    {
      title: 'times out while waiting for the next byte',
      handler: (r, answer) => {
        answer.writeHead(200, {'x-request-id': 'req-1', 'content-length': 50});
        answer.write('{"a":');
      },
      code: ErrorCode.TIMEOUT,
    },
  ];

  for (const {title, handler, code} of completeCalls) {
    it(title, async () => {
      server.handler = (request, answer) => {
        if (request.path.endsWith('/cancel')) answer.writeHead(204).end();
        else handler(request, answer);
      };
      const result = await client.complete(createCall());
      expect(result.isErr() ? result.error.code : undefined).to.equal(code);
    });
  }

  it('fails with UNAVAILABLE only when no server listens', async () => {
    await server.stop();
    const refused = await client.complete(createCall());
    expect(refused._unsafeUnwrapErr().code).to.equal(ErrorCode.UNAVAILABLE);
    expect((await readStream()).code).to.equal(ErrorCode.UNAVAILABLE);
    server = new FaultyServer((r, answer) => answer.destroy());
    serverUrl = await server.start();
    const broken = await client.complete(createCall());
    expect(broken._unsafeUnwrapErr().code).to.equal(ErrorCode.BROKEN_ANSWER);
  });

  it('never reuses a connection whose request timed out', async () => {
    await connections.close();
    connections = new BackendConnections({
      maxIdleMs: 5000,
      maxConnections: 1,
    });
    client = new HttpEngineClient(connections);
    server.handler = (request, answer) => {
      if (request.path.endsWith('/cancel')) return;
      answer.writeHead(200, {'x-request-id': 'req-1'}).end('{}');
    };
    await client.complete(createCall());
    server.handler = () => undefined;
    await client.complete(createCall());
    server.handler = (request, answer) => {
      answer.writeHead(200, {'x-request-id': 'req-1'}).end('{}');
    };
    const last = await client.complete(createCall());
    expect(last.isOk()).to.equal(true);
    const used = server.listSeen('/v1/chat').map((r) => r.connection);
    expect(used[1]).to.equal(used[0]);
    expect(used[2]).not.to.equal(used[0]);
  });

  it('reuses no idle connection of a server after a timeout', async () => {
    const held: Array<() => void> = [];
    server.handler = (request, answer) => {
      held.push(() =>
        answer.writeHead(200, {'x-request-id': 'req-1'}).end('{}'),
      );
      if (held.length === 2) for (const finish of held) finish();
    };
    const both = [client.complete(createCall()), client.complete(createCall())];
    for (const result of await Promise.all(both)) {
      expect(result.isOk()).to.equal(true);
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
    server.handler = (request, answer) => {
      if (request.connection <= 2) return;
      answer.writeHead(200, {'x-request-id': 'req-1'}).end('{}');
    };
    const silent = await client.complete(createCall());
    expect(silent._unsafeUnwrapErr().code).to.equal(ErrorCode.TIMEOUT);
    expect((await client.complete(createCall())).isOk()).to.equal(true);
  });

  it('reuses the connection of a stream that ended', async () => {
    server.handler = (request, answer) => {
      writeStreamHead(answer, 'req-1');
      answer.end(`${formatEvents([0])}data: [DONE]\n\n`);
    };
    await readStream();
    await new Promise((resolve) => setTimeout(resolve, 50));
    await readStream();
    const used = server.seen.map((request) => request.connection);
    expect(used).to.deep.equal([1, 1]);
  });

  it('cancels at the engine when the caller leaves', async () => {
    const leaving = new AbortController();
    server.handler = (request, answer) => {
      if (request.path.endsWith('/cancel')) {
        answer.writeHead(204).end();
        return;
      }
      writeStreamHead(answer, 'req-1');
      answer.write(formatEvents([0]));
    };
    let code: ErrorCode | undefined;
    try {
      for await (const chunk of client.stream(createCall(leaving.signal))) {
        if (chunk.sequence === 0) leaving.abort();
      }
    } catch (thrown) {
      code = (thrown as SavoryspurError).code;
    }
    expect(code).to.equal(ErrorCode.CANCELLED);
    expect(server.listSeen('/v1/streams/req-1/cancel').length).to.equal(1);
  });

  const refusals = [
    {status: 503, id: 'req-1', code: 'not_run', isNotRun: true},
    {status: 503, id: 'req-1', code: 'other', isNotRun: false},
    {status: 500, id: 'req-1', code: 'not_run', isNotRun: false},
    {status: 503, id: '', code: 'not_run', isNotRun: false},
  ];
  for (const {status, id, code, isNotRun} of refusals) {
    it(`reports isNotRun ${isNotRun} for ${status} ${code} with request id "${id}"`, async () => {
      server.handler = (request, answer) => {
        if (id) answer.setHeader('x-request-id', id);
        answer.writeHead(status).end(JSON.stringify({error: {code}}));
      };
      const result = await client.complete(createCall());
      const error = result._unsafeUnwrapErr();
      expect(error).to.be.instanceOf(BackendRefusal);
      expect((error as BackendRefusal).isNotRun).to.equal(isNotRun);
      expect(error.code).to.equal(ErrorCode.REMOTE_ERROR);
    });
  }

  it('reports that the engine did not run a refused stream', async () => {
    server.handler = (request, answer) => {
      answer.writeHead(503, {'x-request-id': 'req-1'});
      answer.end('{"error":{"code":"not_run"}}');
    };
    let thrown: unknown;
    try {
      await client.stream(createCall()).next();
    } catch (caught) {
      thrown = caught;
    }
    expect(thrown).to.be.instanceOf(BackendRefusal);
    expect((thrown as BackendRefusal).isNotRun).to.equal(true);
  });
});
