// A configuration like that of a small deployment.
export const HOST_NAME = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

export const config = ({ version = 7, routes, services } = {}) => ({
  version,
  routes,
  services,
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }],
});

export const plainRoute = (kind, fields = {}) => ({
  name: `r-${kind}`,
  host: HOST_NAME,
  prefix: `/${kind}/`,
  kind,
  timeout_ms: 4000,
  target_latency_ms: 386,
  priority: 2,
  service: 'field-app',
  attempts: kind === 'safe' ? 2 : 1,
  public: false,
  resumable: false,
  ...fields,
});

export const plainService = {
  name: 'field-app',
  health_check_path: '/health',
  max_connections: 110,
  protocol: 'h1',
  tls: false,
};

export const engineService = {
  name: 'jujube-llm',
  health_check_path: '/health',
  max_connections: 370,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 64,
    kv_capacity_tokens: 685_000,
    kv_token_bytes: 18_432,
    link_mbps: 130_000,
    moves: true,
    backups: true,
    stride: 6,
    most: 12,
    pin_ms: 4000,
    hold_ms: 2000,
    handle_s: 5,
    models: [{ name: 'm' }],
  },
};

export const draftRoute = {
  name: 'r-audit-draft',
  host: HOST_NAME,
  prefix: '/audit/',
  kind: 'streaming',
  timeout_ms: 12_000,
  target_latency_ms: 2000,
  target_gap_ms: 1000,
  priority: 2,
  service: 'jujube-llm',
  attempts: 1,
  public: false,
  sticky_sessions: true,
  resumable: false,
};
