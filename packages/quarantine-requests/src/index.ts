/** Suspects and convictions of requests that crash engines. */
export {};
