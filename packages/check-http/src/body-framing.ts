/** How the body of an answer ends: after some bytes, with its last chunk, or with the connection. */
export type BodyFraming =
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunks' }
  | { readonly kind: 'connection' }
  | { readonly kind: 'fault'; readonly fault: string };
