/** One message on a link. */
export interface Frame {
  readonly id: number;
  readonly type: string;
  readonly replyTo?: number | undefined;
  readonly failed?: boolean | undefined;
  readonly body?: unknown;
}
