/** A part of a prompt. Calls that have the same piece give the same id for it. */
export interface PromptPiece {
  readonly id: string;
  readonly tokens: number;
}
