/** Journal that lets a non-idempotent call run at most once. */
export {};
