/** Load and experiments. */
export {};
