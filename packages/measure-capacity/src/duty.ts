import type { Cost } from './cost.js';

/** One duty of a role with its cost. */
export interface Duty {
  readonly role: string;
  readonly duty: string;
  /** `control` goes on without requests or per account and server; `request` grows with requests, as the answers do. */
  readonly kind: 'control' | 'request';
  /** Mean over all nodes. */
  readonly mean: Cost;
  /** The node that has the most of this duty. */
  readonly most: Cost;
  /** Calls of all nodes together at the platform. */
  readonly platform?: { readonly reads?: number; readonly writes?: number; readonly waiting?: number };
}
