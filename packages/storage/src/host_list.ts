/** Client of the host list, which names the live and the leaving hosts. */
import type {SavoryspurError} from '@savoryspur/common';
import {type ListedHost, validateHostListAnswer} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {HttpCaller} from './http_caller.js';
import {parseJsonAnswer} from './table_service.js';

/** List of live and leaving hosts. It may lag behind the actual state of the hosts. */
export interface HostList {
  /** Reads the complete list. */
  list(): ResultAsync<ListedHost[], SavoryspurError>;
}

/** Host list over HTTP; docs/INTERFACES.md specifies the protocol. */
export class HttpHostList implements HostList {
  /**
   * @param caller - makes the HTTP calls to the host list
   * @param peer - address of the host list, named in errors
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
