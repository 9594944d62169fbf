import type { RetryBudget } from '@laburnumshift/limit-retries';
import type {
  CallJournal,
  Config,
  CutoverConfig,
  Member,
  OlderSystemClient,
  Result,
  ServiceClient,
  System,
} from '@laburnumshift/types';

/** What a plain service call needs from the rest of the node. */
export interface CallDependencies {
  readonly getConfig: () => Config | undefined;
  readonly getServer: (name: string, url: string) => ServiceClient;
  /** False for a server that is leaving or dead by the host list, by its own report or by a failure. */
  readonly isUsable: (server: string) => boolean;
  /** Calls that run and wait on a server as far as this node knows. */
  readonly getQueue: (server: string) => number;
  readonly reportServer: (server: string, state: 'leaving' | 'failed') => void;
  readonly journal: CallJournal;
  readonly getSelf: () => Member;
  /** Time that journal records are kept, milliseconds. */
  readonly retentionMs: number;
  readonly retryBudget: RetryBudget;
  readonly recordTrace: (
    request: { readonly requestId: string; readonly account: string; readonly service: string },
    step: string,
    detail: Readonly<Record<string, unknown>>,
  ) => void;
  /** Takes the account's limits for one call; the error is the time to retry after, milliseconds. */
  readonly takeLimits?: ((account: string, tokens: number) => Result<() => void, number>) | undefined;
  /** Client of the older system at a base URL; absent when there is none. */
  readonly getOlder?: ((url: string) => OlderSystemClient) | undefined;
  readonly chooseSystem?:
    ((account: string, conversation: string, cutover: CutoverConfig) => System) | undefined;
}
