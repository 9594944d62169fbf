import type { ExplainedPlacement } from './explained-placement.js';

/** Where a call would go now, and why. Has no key and no header fields of the call. */
export interface CallExplanation extends Partial<
  Pick<ExplainedPlacement, 'candidates' | 'ruledOut' | 'queuedCalls'>
> {
  readonly outcome: 'send' | 'wait' | 'refuse';
  /** Name of the host that explains; when `home` is set, the answer is only its own view. */
  readonly host: string;
  /** The home host that decides about such calls. */
  readonly home?: string | undefined;
  readonly server?: string;
  /** Expected time to the first event or to the answer at that server, milliseconds; 0 when unknown. */
  readonly expectedMs?: number;
  /** Cause of a refusal, or what the call waits for. */
  readonly reason?: string;
  /** Status of a refusal. */
  readonly status?: number;
  readonly retryAfterMs?: number | undefined;
  readonly route?: string;
  readonly account?: string | undefined;
  readonly priority?: number;
  readonly service?: string;
  /** Services of the route by weight; each call goes to one at random. */
  readonly targets?: readonly { readonly service: string; readonly weight: number }[];
  readonly cost?: {
    /** Expected time of a plain call at a server of usual speed, milliseconds. */
    readonly callMs?: number | undefined;
    readonly inputTokens?: number | undefined;
    readonly expectedOutputTokens?: number | undefined;
    /** Memory that the call is expected to hold, tokens. */
    readonly heldTokens?: number | undefined;
  };
  /** Ages of what the answer is based on, milliseconds; `undefined` when unknown. */
  readonly ages: {
    readonly configMs: number | undefined;
    readonly weightsMs: number | undefined;
    readonly otherLoadsMs?: number | undefined;
  };
}
