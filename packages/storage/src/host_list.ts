/** The platform's list of live and leaving hosts. */
import type {SavoryspurError} from '@savoryspur/common';
import {type ListedHost, validateHostListAnswer} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {HttpCaller} from './http_caller.js';
import {parseJsonAnswer} from './table_service.js';

/** Live and leaving hosts, with a lag. */
export interface HostList {
  /** Reads the whole list. */
  list(): ResultAsync<ListedHost[], SavoryspurError>;
}

/** Host list met over HTTP; the wire is in docs/INTERFACES.md. */
export class HttpHostList implements HostList {
  /**
   * @param caller - bounded caller of the list
   * @param peer - address that errors name
   */
  constructor(
    private readonly caller: HttpCaller,
    private readonly peer: string,
  ) {}

  /** {@inheritDoc HostList.list} */
  list(): ResultAsync<ListedHost[], SavoryspurError> {
    return this.caller
      .request({
        step: 'hosts.list',
        method: 'GET',
        path: '/v1/hosts',
        isWrite: false,
      })
      .andThen((answer) =>
        parseJsonAnswer(answer, validateHostListAnswer, {
          step: 'hosts.list',
          peer: this.peer,
        }),
      )
      .map((parsed) => parsed.hosts);
  }
}
