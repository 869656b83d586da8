/** A client with a channel that has to be closed. */
interface ClosableClient {
  readonly close: () => void;
}

/** Caches one client per address, created at first use. */
export class ClientCache<Client extends ClosableClient> {
  readonly #clients = new Map<string, Client>();

  /** @param create - creates the client of an address */
  constructor(private readonly create: (address: string) => Client) {}

  /** @returns the client of an address, created if there is none */
  clientFor(address: string): Client {
    const known = this.#clients.get(address);
    if (known) {
      return known;
    }
    const client = this.create(address);
    this.#clients.set(address, client);
    return client;
  }

  /** Closes and removes the client of an address; the next use creates a new one. */
  drop(address: string): void {
    this.#clients.get(address)?.close();
    this.#clients.delete(address);
  }

  /** Closes and removes the clients of all addresses but the given ones. */
  keepOnly(addresses: ReadonlySet<string>): void {
    [...this.#clients.keys()]
      .filter(address => !addresses.has(address))
      .forEach(address => {
        this.drop(address);
      });
  }

  /** Closes all clients. */
  close(): void {
    this.keepOnly(new Set());
  }
}
