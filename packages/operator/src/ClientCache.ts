/** A client that holds a channel. */
interface ClosableClient {
  readonly close: () => void;
}

/** Clients by address, made at first use. */
export class ClientCache<Client extends ClosableClient> {
  readonly #clients = new Map<string, Client>();

  /** @param create - makes the client of an address */
  constructor(private readonly create: (address: string) => Client) {}

  /** @returns the client of an address */
  of(address: string): Client {
    const known = this.#clients.get(address);
    if (known) {
      return known;
    }
    const client = this.create(address);
    this.#clients.set(address, client);
    return client;
  }

  /** Closes the channel to an address; the next call opens another. */
  drop(address: string): void {
    this.#clients.get(address)?.close();
    this.#clients.delete(address);
  }

  /** Closes channels to addresses that are no longer used. */
  keepOnly(addresses: ReadonlySet<string>): void {
    [...this.#clients.keys()]
      .filter(address => !addresses.has(address))
      .forEach(address => {
        this.drop(address);
      });
  }

  close(): void {
    this.keepOnly(new Set());
  }
}
