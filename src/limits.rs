//! All sizes, counts and times that bound the program, set once at start and handed down.

use std::time::Duration;

use tulipridge_http1::Http1Limits;

/// What a gateway may use and how long it waits. Nothing else in the network code states a bound, but for
/// what a connection keeps to by itself.
#[derive(Clone, Debug)]
pub struct Limits {
    /// What each connection keeps to.
    pub wire: Http1Limits,
    /// Descriptors kept back from clients and replicas: for discovery, the store, the log, the runtime's own and
    /// the second address, which must not depend on what else is going on.
    pub own_descriptors: usize,
    /// The longest time that a client may ask for; it bounds how long its request is remembered.
    pub longest_wait: Duration,
    /// What a forwarded stream may buffer and wait for.
    pub stream: StreamLimits,
    /// What the messages front accepts and assembles.
    pub messages: MessagesLimits,
    /// When a replica is ejected because its streams fail; `None`: never.
    pub outliers: Option<OutlierLimits>,
    /// A time-out that fell this short of its end when the client left counts as one.
    pub timeout_slack: Duration,
    /// What connections of clients may use.
    pub edge: EdgeLimits,
    /// What callers at the second address may use.
    pub management: ManagementLimits,
    /// What connections to replicas may use.
    pub replicas: ReplicaLimits,
    /// How discovery is called and watched.
    pub discovery: DiscoveryLimits,
    /// How the process starts, stops and hands over.
    pub lifecycle: LifecycleLimits,
    /// What the log may hold and wait for.
    pub log: LogLimits,
    /// What the replicated store may hold, and how often it is exchanged.
    pub store: StoreLimits,
    /// When the serving thread counts as late.
    pub lag: LagLimits,
}

impl Limits {
    /// The limits of a machine: its descriptors, its memory in MB, and what the settings say of connections.
    #[must_use]
    pub fn new(sockets: usize, memory_mb: usize, connect: Duration, idle: Duration) -> Limits {
        let own = (sockets / 16).max(24);
        let edge_connections = (sockets.saturating_sub(own) * 8 / 15).max(8);
        // A third of the memory is the system's for connections: two buffers for each stream's two connections
        // fill at most, and the system doubles what it is asked for.
        let socket_buffer = ((memory_mb << 20) / 3 / edge_connections / 4).clamp(4 << 10, 64 << 10);
        let server_connections = (sockets.saturating_sub(own) * 7 / 15).max(8);
        Limits {
            wire: Http1Limits { socket_buffer, connect_timeout: connect, ..Http1Limits::default() },
            own_descriptors: own,
            longest_wait: Duration::from_secs(60),
            stream: StreamLimits::new(memory_mb),
            messages: MessagesLimits::default(),
            outliers: None,
            timeout_slack: Duration::from_millis(25),
            edge: EdgeLimits::new(edge_connections, memory_mb),
            management: ManagementLimits::new(own),
            replicas: ReplicaLimits::new(server_connections, idle),
            discovery: DiscoveryLimits::new(),
            lifecycle: LifecycleLimits::new(),
            log: LogLimits::new(),
            store: StoreLimits::new(),
            lag: LagLimits::new(),
        }
    }

    /// The same where another process of this gateway may be up beside this one: its own descriptors are kept back too.
    #[must_use]
    pub fn for_two(mut self) -> Limits {
        self.edge.connections = self.edge.connections.saturating_sub(self.own_descriptors * 8 / 15).max(8);
        self.replicas.connections =
            self.replicas.connections.saturating_sub(self.own_descriptors * 7 / 15).max(8);
        self
    }
}

/// What connections of clients may use.
#[derive(Clone, Debug)]
pub struct EdgeLimits {
    /// Edge connections open at once.
    pub connections: usize,
    /// Bytes of requests buffered at once; beyond it, bodies wait in their sockets until other requests are done.
    pub buffered_bytes: usize,
    /// Bytes that a client may pipeline behind its open request, beyond those that are buffered, before its connection
    /// is closed.
    pub flood_bytes: usize,
    /// While connection slots are scarce, one without any data is closed after this time.
    pub silent_timeout: Duration,
    /// While connection slots are scarce, one whose request has stopped arriving is closed after this time.
    pub slow_timeout: Duration,
    /// While connection slots are scarce, an idle one is closed after this time since its last response.
    pub rested_timeout: Duration,
    /// While connection slots are scarce, a closing one is closed after this time since its last response.
    pub closing_timeout: Duration,
    /// The same whatever still comes.
    pub linger: Duration,
    /// How often a listener without a free slot looks for one.
    pub slot_check_interval: Duration,
    /// An edge connection without a request is closed after this time.
    pub idle_timeout: Duration,
    /// Time for a request to arrive whole, from the connection's accepting or else the request's first byte.
    pub read_timeout: Duration,
    /// Time in which a client must take a response that is no stream.
    pub write_timeout: Duration,
    /// Pause of the listener after it found no descriptor free.
    pub accept_pause: Duration,
}

/// What callers at the second address may use.
#[derive(Clone, Debug)]
pub struct ManagementLimits {
    /// Callers at the second address at once.
    pub callers: usize,
    /// While slots are scarce, a caller that has sent nothing is closed after this time.
    pub silent_timeout: Duration,
    /// While slots are scarce, a caller whose call has stopped arriving is closed after this time.
    pub slow_timeout: Duration,
    /// Time for a call to arrive whole.
    pub read_timeout: Duration,
    /// Time in which a caller must take its response.
    pub write_timeout: Duration,
}

/// What connections to replicas may use.
#[derive(Clone, Debug)]
pub struct ReplicaLimits {
    /// Interim responses (1xx) before one that counts.
    pub interim_heads: usize,
    /// Connections to replicas open at once, idle ones included.
    pub connections: usize,
    /// An idle connection to a replica is closed after this time.
    pub idle_timeout: Duration,
    /// A connection to a replica is not used again sooner after a response.
    pub settle_time: Duration,
    /// How often idle connections are looked through.
    pub sweep_interval: Duration,
    /// Time in which the rest of an unusable response is read, to keep its connection.
    pub drain_timeout: Duration,
    /// Time between the head of a response and its first event.
    pub stream_opening: Duration,
    /// The rest of a head that has begun must come within this time.
    pub head_stall: Duration,
}

/// How discovery is called and watched.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Bytes of one object of discovery's responses.
    pub list_bytes: usize,
    /// A watch without a line for this time counts as broken, and is listened to until another takes its place.
    pub watch_idle_timeout: Duration,
    /// The same where lists are pushed: what the agent has counts whether or not a watch is open, and a call costs
    /// nothing.
    pub agent_idle_timeout: Duration,
    /// After this time without a response, an agent is called a second time in parallel.
    pub agent_answer_timeout: Duration,
    /// Calls to an agent that fail begin so far apart at the least.
    pub agent_pause: Duration,
    /// Time for discovery's response to begin.
    pub answer_timeout: Duration,
    /// Without a response of discovery, a list from the configuration counts as good after this time.
    pub list_wait: Duration,
}

/// How the process starts, stops and hands over.
#[derive(Clone, Debug)]
pub struct LifecycleLimits {
    /// How often a starting process looks whether it can serve.
    pub start_check_interval: Duration,
    /// Bytes of a stream that is handed over, all that waits at it included.
    pub handover_bytes: usize,
    /// How often an older process looks whether what it holds has changed, to tell the newer one.
    pub report_interval: Duration,
    /// After SIGTERM or a drain, requests are taken for this time on connections that clients have.
    pub stop_grace: Duration,
}

/// What the log may hold and wait for.
#[derive(Clone, Debug)]
pub struct LogLimits {
    /// Log lines that wait for standard error or the collector; further ones are dropped and counted.
    pub lines: usize,
    /// Bytes of all of them together.
    pub bytes: usize,
    /// Unknown event names that are remembered so as to be logged once.
    pub noted_names: usize,
    /// Time for the log to get out at the program's end or at a panic.
    pub drain_timeout: Duration,
    /// How often it is looked whether it is.
    pub drain_check_interval: Duration,
}

/// What the replicated store may hold, and how often it is exchanged.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Keys that the store holds.
    pub keys: usize,
    /// Bytes of a key or a value of the store.
    pub entry_bytes: usize,
    /// Bytes of a line between stores: all keys at their largest fit.
    pub line_bytes: usize,
    /// Connections to the store's port.
    pub peers: usize,
    /// A stamp of the store further ahead of the clock than this is garbage: it would win for ever.
    pub max_clock_lead: Duration,
    /// Time between two notes of this node's state in the store.
    pub state_interval: Duration,
    /// Time between two exchanges of the store with a peer.
    pub peer_interval: Duration,
}

/// When the serving thread counts as late.
#[derive(Clone, Debug)]
pub struct LagLimits {
    /// The serving thread may run so late before it is told.
    pub threshold: Duration,
    /// A spell of running late is over after this time without.
    pub calm_time: Duration,
    /// Time between two looks at the thread's own processor time.
    pub recheck_interval: Duration,
}

impl EdgeLimits {
    fn new(connections: usize, memory_mb: usize) -> EdgeLimits {
        EdgeLimits {
            connections,
            // What is written to a replica is copied only meanwhile.
            buffered_bytes: (memory_mb << 20) * 3 / 8,
            // A client that has left has no more on its way than its system keeps for a connection: 4 MB, as Linux
            // comes.
            flood_bytes: 4 << 20,
            silent_timeout: Duration::from_millis(200),
            slow_timeout: Duration::from_secs(1),
            rested_timeout: Duration::from_secs(2),
            closing_timeout: Duration::from_millis(20),
            linger: Duration::from_secs(1),
            slot_check_interval: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(4),
            // A client that sends no whole request is owed an error or a close within 3 s of connecting.
            read_timeout: Duration::from_millis(2200),
            write_timeout: Duration::from_secs(10),
            accept_pause: Duration::from_millis(20),
        }
    }
}

impl ManagementLimits {
    fn new(own_descriptors: usize) -> ManagementLimits {
        ManagementLimits {
            callers: (own_descriptors - 16).min(32),
            silent_timeout: Duration::from_millis(20),
            slow_timeout: Duration::from_millis(100),
            // A response is due within a second, however the call came.
            read_timeout: Duration::from_millis(600),
            write_timeout: Duration::from_millis(200),
        }
    }
}

impl ReplicaLimits {
    fn new(connections: usize, idle: Duration) -> ReplicaLimits {
        ReplicaLimits {
            interim_heads: 16,
            connections,
            // Well before the other side's limit, so that no request crosses its close.
            idle_timeout: idle.mul_f64(0.6),
            // A second response may come some milliseconds behind the first, and would be taken for the next one's.
            settle_time: Duration::from_millis(20),
            sweep_interval: Duration::from_millis(250),
            drain_timeout: Duration::from_millis(50),
            stream_opening: Duration::from_secs(4),
            head_stall: Duration::from_millis(1500),
        }
    }
}

impl DiscoveryLimits {
    fn new() -> DiscoveryLimits {
        DiscoveryLimits {
            list_bytes: 1 << 20,
            watch_idle_timeout: Duration::from_nanos(crate::list_schedule::WATCH_IDLE_TIMEOUT),
            // An empty line is due after 2 s.
            agent_idle_timeout: Duration::from_millis(2300),
            // Together well below the time for which a drained server may still be sent to.
            agent_answer_timeout: Duration::from_millis(100),
            agent_pause: Duration::from_millis(50),
            answer_timeout: Duration::from_millis(2500),
            list_wait: Duration::from_secs(1),
        }
    }
}

impl LifecycleLimits {
    fn new() -> LifecycleLimits {
        LifecycleLimits {
            start_check_interval: Duration::from_millis(10),
            // What a stream may hold at each of its sides, and its description.
            handover_bytes: 160 << 10,
            report_interval: Duration::from_millis(20),
            stop_grace: Duration::from_millis(700),
        }
    }
}

impl LogLimits {
    fn new() -> LogLimits {
        LogLimits {
            lines: 1024,
            bytes: 256 << 10,
            noted_names: 64,
            drain_timeout: Duration::from_millis(200),
            drain_check_interval: Duration::from_millis(1),
        }
    }
}

impl StoreLimits {
    fn new() -> StoreLimits {
        StoreLimits {
            keys: 256,
            entry_bytes: 2 << 10,
            line_bytes: 2 << 20,
            peers: 8,
            max_clock_lead: Duration::from_secs(60),
            state_interval: Duration::from_secs(2),
            peer_interval: Duration::from_millis(500),
        }
    }
}

impl LagLimits {
    fn new() -> LagLimits {
        LagLimits {
            threshold: Duration::from_millis(100),
            calm_time: Duration::from_secs(1),
            recheck_interval: Duration::from_millis(10),
        }
    }
}

/// An idle timeout that adapts to the gaps of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimit {
    /// Multiple of the longest gap so far.
    pub factor: f64,
    /// The shortest idle timeout.
    pub least: Duration,
}

/// What a forwarded stream may buffer and wait for.
#[derive(Clone, Debug)]
pub struct StreamLimits {
    /// Bytes that a stream buffers before it is no longer read.
    pub high_watermark: usize,
    /// Bytes at or under which it is read again.
    pub low_watermark: usize,
    /// Bytes that all streams together buffer before streams are evicted.
    pub budget: usize,
    /// Bytes that each stream may buffer however short the budget is.
    pub floor: usize,
    /// Time without data between two events after which a stream counts as stalled.
    pub idle_timeout: Duration,
    /// The same within a chunk or an event.
    pub stall: Duration,
    /// The same after the dialect's last event, for the last chunk.
    pub tail: Duration,
    /// If set, the idle timeout follows the longest gap of the stream, within the limits above.
    pub pace: Option<PaceLimit>,
    /// The span over which a reader's progress is looked at.
    pub reader_span: Duration,
    /// Bytes that a reader takes in that span at the least, while bytes wait for it.
    pub reader_floor: usize,
    /// After a break, the client may take what waits for this time.
    pub linger: Duration,
    /// After SIGTERM, streams are cut after this time.
    pub stop: Duration,
    /// How long before it is cut a stream is offered to the successor process.
    pub offer_before: Duration,
    /// Pause before it is offered again.
    pub offer_again: Duration,
    /// Pause between two snapshots of the figures in the log; none: only at the end.
    pub figures_every: Option<Duration>,
    /// How often ejections that are over and statistics that are due are looked for.
    pub check_interval: Duration,
    /// Bytes that one stream may forward before it yields to other tasks.
    pub bytes_per_turn: usize,
}

impl StreamLimits {
    fn new(memory_mb: usize) -> StreamLimits {
        let high_watermark = 16 << 10;
        StreamLimits {
            high_watermark,
            low_watermark: high_watermark / 4,
            budget: (memory_mb << 20) / 8,
            floor: 4 << 10,
            // Guards against a stream that has stopped for good on an open connection: its client is owed an end
            // within 5 s of the last event.
            idle_timeout: Duration::from_secs(4),
            stall: Duration::from_millis(1500),
            tail: Duration::from_millis(1500),
            pace: None,
            reader_span: Duration::from_secs(8),
            reader_floor: 4 << 10,
            linger: Duration::from_secs(1),
            // A planned stop kills no sooner than 3.7 s after its SIGTERM.
            stop: Duration::from_millis(3550),
            offer_before: Duration::from_millis(500),
            offer_again: Duration::from_millis(20),
            figures_every: None,
            check_interval: Duration::from_millis(250),
            bytes_per_turn: 32 << 10,
        }
    }
}

/// What the messages front accepts and assembles.
#[derive(Clone, Debug)]
pub struct MessagesLimits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How deep a tool's schema or input nests.
    pub depth: usize,
    /// Blocks in a request, those within results and documents counted.
    pub blocks: usize,
    /// Turns in a request.
    pub turns: usize,
    /// Tools in a request.
    pub tools: usize,
    /// Stop sequences in a request.
    pub stop_sequences: usize,
    /// Bytes of a response that is assembled before it is sent.
    pub whole_bytes: usize,
    /// Bytes of tool calls that wait for the end of another one.
    pub call_bytes: usize,
    /// Maximum number of output tokens where the request states none and the other dialect requires one.
    pub default_max_tokens: u64,
    /// Bytes of a replica's error message about an invalid request.
    pub error_message_bytes: usize,
}

impl Default for MessagesLimits {
    fn default() -> MessagesLimits {
        MessagesLimits {
            body_bytes: 256 << 10,
            depth: 64,
            blocks: 4096,
            turns: 4096,
            tools: 256,
            stop_sequences: 64,
            whole_bytes: 256 << 10,
            call_bytes: 64 << 10,
            default_max_tokens: 4096,
            error_message_bytes: 4 << 10,
        }
    }
}

/// When a replica is ejected because its streams fail.
#[derive(Clone, Debug)]
pub struct OutlierLimits {
    /// The window over which ends of streams are counted.
    pub window: Duration,
    /// Ends remembered for each replica.
    pub max_ends: usize,
    /// Failures within the window before an ejection.
    pub min_failures: usize,
    /// The failure rate before an ejection, 0 to 1.
    pub min_failure_rate: f64,
    /// How many times the failure rate of the other replicas it must be.
    pub ratio_to_others: f64,
    /// How long the first ejection lasts.
    pub ejection_time: Duration,
    /// How long an ejection may last; each one that follows soon lasts twice as long as the one before.
    pub max_ejection_time: Duration,
    /// The share of the ready replicas that may be ejected, 0 to 1.
    pub max_ejected_share: f64,
}

impl Default for OutlierLimits {
    fn default() -> OutlierLimits {
        OutlierLimits {
            window: Duration::from_secs(30),
            max_ends: 64,
            min_failures: 3,
            min_failure_rate: 0.3,
            ratio_to_others: 3.0,
            ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(60),
            max_ejected_share: 0.2,
        }
    }
}
