/** One end of a link. */
export interface Identity {
  readonly address: string;
  readonly instance: string;
}
