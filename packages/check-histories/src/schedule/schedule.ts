import type { FaultName } from '../faults/fault-name.js';

/** A resend of the same id or key through another node. */
interface Resend {
  readonly afterMs: number;
  readonly node: number;
}

/**
 * What callers, operators and faults do in one run. `atMs` counts from the start of the traffic; numbers of nodes, accounts,
 * prompts and targets are taken modulo what there is.
 */
export interface Schedule {
  readonly completions: readonly {
    readonly atMs: number;
    readonly account: number;
    readonly node: number;
    readonly service: number;
    readonly prompt: number;
    readonly maxTokens: number;
    /** True uses an id that other accounts use too. */
    readonly sharedId: boolean;
    readonly resend: Resend | null;
  }[];
  readonly bookings: readonly {
    readonly atMs: number;
    readonly account: number;
    readonly node: number;
    readonly service: number;
    readonly resends: readonly Resend[];
  }[];
  readonly publications: readonly {
    readonly atMs: number;
    readonly change: 'weights' | 'share' | 'accounts' | 'rollback';
    readonly target: number;
  }[];
  readonly restarts: readonly { readonly atMs: number; readonly node: number }[];
  /** Backend servers that leave to the end of the run, seen in the host list or reported by themselves. */
  readonly leavings: readonly {
    readonly atMs: number;
    readonly target: number;
    readonly by: 'list' | 'server';
  }[];
  readonly faults: readonly {
    readonly atMs: number;
    readonly durationMs: number;
    readonly name: FaultName;
    readonly target: number;
  }[];
}
