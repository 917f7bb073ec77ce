/** An operator of a test site, over the operator API. */
import {OPERATOR_TOKEN} from '@savoryspur/testkit';
import {request} from 'undici';

/** API path of the environment that the daemons of a site serve. */
const ENVIRONMENT_PATH = '/operator/v1/environments/production';

/** Operator name that is recorded with each change. */
const OPERATOR_NAME = 'proofs';

/** Answer of the operator API. */
export interface OperatorAnswer {
  status: number;
  text: string;
}

/** An issued key with its secret. */
export interface IssuedKey {
  id: string;
  workspace: string;
  secret: string;
}

/** Changes the environment of a site through any of its daemons. */
export class SiteOperator {
  /** Issues a key of a workspace. */
  async issueKey(baseUrl: string, workspace: string): Promise<IssuedKey> {
    const path = `${ENVIRONMENT_PATH}/keys`;
    const answer = await this.post(baseUrl, path, {workspace});
    return JSON.parse(requireStatusOk(answer)) as IssuedKey;
  }

  /** Withdraws a key, so that it is refused from then on. */
  async withdrawKey(baseUrl: string, keyId: string): Promise<void> {
    const path = `${ENVIRONMENT_PATH}/keys/${keyId}/withdraw`;
    requireStatusOk(await this.post(baseUrl, path, {}));
  }

  /** Takes a zone out of service, or brings it back into service. */
  async setZoneOut(
    baseUrl: string,
    zone: string,
    isOut: boolean,
  ): Promise<void> {
    const path = `${ENVIRONMENT_PATH}/zones/${zone}`;
    requireStatusOk(await this.post(baseUrl, path, {isOut}));
  }

  /** Sends a GET request. */
  get(baseUrl: string, path: string): Promise<OperatorAnswer> {
    return send('GET', `${baseUrl}${path}`, undefined);
  }

  /** Sends a POST request whose body also names the operator. */
  post(
    baseUrl: string,
    path: string,
    body: Record<string, unknown>,
  ): Promise<OperatorAnswer> {
    const text = JSON.stringify({...body, operator: OPERATOR_NAME});
    return send('POST', `${baseUrl}${path}`, text);
  }
}

async function send(
  method: 'GET' | 'POST',
  url: string,
  body: string | undefined,
): Promise<OperatorAnswer> {
  const answer = await request(url, {
    method,
    headers: {
      authorization: `Bearer ${OPERATOR_TOKEN}`,
      'content-type': 'application/json',
    },
    body,
    reset: true,
  });
  return {status: answer.statusCode, text: await answer.body.text()};
}

function requireStatusOk(answer: OperatorAnswer): string {
  if (answer.status === 200) return answer.text;
  throw new Error(`status ${answer.status}: ${answer.text}`);
}
