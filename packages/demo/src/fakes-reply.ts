import type { FakesReport } from './fakes-report.js';

/** Replies of the process that runs the fakes, one for each request in order. */
export type FakesReply =
  | {
      readonly kind: 'started';
      readonly platformUrl: string;
      readonly addresses: Readonly<Record<string, string>>;
    }
  | { readonly kind: 'done' }
  | { readonly kind: 'report'; readonly report: FakesReport };
