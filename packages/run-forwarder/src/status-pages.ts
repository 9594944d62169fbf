/** Answers by path. */
export type StatusPages = Readonly<Record<string, () => { readonly status: number; readonly text: string }>>;
