import type { ClientAccount, ForwardRoute, ForwardService } from '@laburnumshift/forward-types';

/** The route, account and service of a call, or with which status and for which reason it is refused before it is placed. */
export type MatchResult =
  | {
      readonly kind: 'matched';
      readonly route: ForwardRoute;
      /** `undefined` on public routes, and when no accounts are configured. */
      readonly account: ClientAccount | undefined;
      readonly service: ForwardService;
    }
  | {
      readonly kind: 'refused';
      readonly status: 401 | 404 | 503 | 505;
      readonly reason: string;
      readonly retryAfterMs?: number | undefined;
    };
