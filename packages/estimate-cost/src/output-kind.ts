/** What calls have in common whose output estimates are wrong in the same way. */
export interface OutputKind {
  readonly route: string;
  /** `undefined` on public routes. */
  readonly account: string | undefined;
}
