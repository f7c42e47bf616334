/** Chooses which connection is closed when there are too many. */

/** Connections that are open, ordered by the time since which they have sent no request. */
export class ConnectionLimit<Connection> {
  readonly #maxConnections: number;
  /** Connections that have never sent a request, longest open first. */
  readonly #unused = new Set<Connection>();
  /** Connections without a request in progress, longest idle first. */
  readonly #idle = new Set<Connection>();
  #count = 0;

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  /** Number of open connections. */
  get count(): number {
    return this.#count;
  }

  /** Connections without a request in progress, unused ones first. */
  get idle(): readonly Connection[] {
    return [...this.#unused, ...this.#idle];
  }

  /** Adds a connection; returns the one to close if there are too many, which may be the new one. */
  add(connection: Connection): Connection | undefined {
    const excess = this.#count < this.#maxConnections ? undefined : this.#longestIdle(connection);
    // It stays counted until it has closed, but is not chosen again.
    if (excess !== undefined) this.#forget(excess);
    this.#count++;
    if (excess !== connection) this.#unused.add(connection);
    return excess;
  }

  /** Takes the connection to close for a new one, which is the new one itself if all others have a request in progress. */
  takeLongestIdle(newest: Connection): Connection {
    for (const connections of [this.#unused, this.#idle]) {
      for (const connection of connections) {
        if (connection === newest) continue;
        this.#forget(connection);
        return connection;
      }
    }
    return newest;
  }

  /** Records that a request of the connection begins. */
  recordRequest(connection: Connection): void {
    if (!this.#idle.delete(connection)) this.#unused.delete(connection);
  }

  /** Records that the connection has no request in progress. */
  recordIdle(connection: Connection): void {
    this.#idle.add(connection);
  }

  /** Removes a closed connection. */
  remove(connection: Connection): void {
    this.#count--;
    this.#forget(connection);
  }

  #forget(connection: Connection): void {
    this.#unused.delete(connection);
    this.#idle.delete(connection);
  }

  #longestIdle(newest: Connection): Connection {
    for (const connection of this.#unused) return connection;
    for (const connection of this.#idle) return connection;
    return newest;
  }
}
