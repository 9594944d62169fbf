/** One message on a link: a request, or a reply when `replyTo` is set. */
export interface Frame {
  readonly id: number;
  readonly type: string;
  readonly replyTo?: number | undefined;
  readonly failed?: boolean | undefined;
  readonly body?: unknown;
}
