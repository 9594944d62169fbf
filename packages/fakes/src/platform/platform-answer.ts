/** An HTTP answer of the fake, or an order to leave the call without one. */
export type PlatformAnswer =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly body: unknown;
      readonly retryAfterMs?: number;
    }
  | { readonly kind: 'lost' }
  | { readonly kind: 'mute' };
