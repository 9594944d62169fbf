import type { RetryBudget } from '@laburnumshift/limit-retries';
import type {
  CallJournal,
  Config,
  CutoverConfig,
  Member,
  OlderSystemClient,
  Result,
  ServiceClient,
  ServingSystem,
} from '@laburnumshift/types';

/** The parts of the node that a plain service call uses. */
export interface CallDependencies {
  readonly getConfig: () => Config | undefined;
  readonly getServiceClient: (name: string, url: string) => ServiceClient;
  /** False when the host list, the server's own load report or a failed call says that the server is leaving or dead. */
  readonly isServerUsable: (server: string) => boolean;
  /** Number of calls that run or wait on a server, as far as this node knows. */
  readonly getQueueLength: (server: string) => number;
  readonly reportServerState: (server: string, state: 'leaving' | 'failed') => void;
  readonly journal: CallJournal;
  readonly getSelf: () => Member;
  /** How long the journal keeps records, milliseconds. */
  readonly retentionMs: number;
  readonly retryBudget: RetryBudget;
  readonly recordTrace: (
    request: { readonly requestId: string; readonly account: string; readonly service: string },
    step: string,
    detail: Readonly<Record<string, unknown>>,
  ) => void;
  /**
   * Reserves one call and `tokens` tokens within the limits of the account. The value releases the reservation; the error
   * is the time to retry after, milliseconds. Limits are not checked when this is absent.
   */
  readonly reserveQuota?: ((account: string, tokens: number) => Result<() => void, number>) | undefined;
  /** Returns the client of the older system at a base URL; absent when no older system is configured. */
  readonly getOlderSystem?: ((url: string) => OlderSystemClient) | undefined;
  /** Chooses the system that takes a new call during a cutover. */
  readonly chooseSystem?:
    ((account: string, conversation: string, cutover: CutoverConfig) => ServingSystem) | undefined;
}
