//! Plays recorded byte exchanges against the program. `recorded/README.md` has the form of the files.

pub mod caller;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, PipeWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for what has to come. Generous: only a failing test waits so long.
pub const PATIENCE: Duration = Duration::from_secs(10);
const PRELUDE: &str = include_str!("../recorded/prelude.txt");
const CONFIG: &str = include_str!("../recorded/config.json");
const OPERATOR: &str = include_str!("../recorded/enum.json");

/// The program, ended with the test.
pub struct Program {
    pub child: Child,
    pub file: PathBuf,
    log: Receiver<String>,
}

impl Program {
    /// Starts it with a file named by `variable`.
    pub fn start(variable: &str, text: &str) -> Program {
        Program::read_until(program(), variable, text, None)
    }

    /// Starts it by a command that ends in it.
    pub fn start_by(command: Command, variable: &str, text: &str) -> Program {
        Program::read_until(command, variable, text, None)
    }

    /// The same; its log is closed at the test's end after the line that holds `last`.
    fn read_until(mut command: Command, variable: &str, text: &str, last: Option<&'static str>) -> Program {
        let at = write_configuration(text);
        let mut child =
            command.env(variable, &at).stderr(Stdio::piped()).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (tell, log) = channel();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                let ends = last.is_some_and(|last| line.contains(last));
                if tell.send(line).is_err() || ends {
                    return;
                }
            }
        });
        Program { child, file: at, log }
    }

    /// Starts it by a command that ends in it, with a log that the test keeps and does not read.
    pub fn start_unread(mut command: Command, variable: &str, text: &str, log: PipeWriter) -> Program {
        let at = write_configuration(text);
        let child = command.env(variable, &at).stderr(log).spawn().expect("the program starts");
        Program { child, file: at, log: channel().1 }
    }

    /// Starts it; once it serves, nobody reads its log any more. Gives the address that it serves on as well.
    pub fn start_unheard(variable: &str, text: &str) -> (Program, SocketAddr) {
        let program = Program::read_until(program(), variable, text, Some("serving on "));
        let at = program.address();
        assert!(program.log.recv().is_err(), "the reader has ended, and its end of the pipe is closed");
        (program, at)
    }

    /// Waits for the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        loop {
            let line = self.log.recv_timeout(PATIENCE).expect("the program serves");
            if let Some((_, at)) = line.split_once("serving on ") {
                return at.parse().expect("an address");
            }
        }
    }

    /// Its last words.
    pub fn says(&self) -> String {
        self.log.recv_timeout(PATIENCE).expect("a line of the log")
    }

    /// Waits until it has nothing that it could do: all its threads sleep, at twenty looks in a row. A thread that
    /// merely has to wait for a processor does not count as one that sleeps.
    pub fn settled(&self) {
        let (end, mut looks) = (Instant::now() + PATIENCE, 0);
        while looks < 20 {
            assert!(Instant::now() < end, "the program does not come to rest");
            std::thread::sleep(Duration::from_millis(2));
            let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
            let stat = |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("stat")).ok();
            let sleeps = |stat: String| stat.rsplit(')').next().is_some_and(|s| s.trim().starts_with('S'));
            let all = tasks.map_while(Result::ok).filter_map(stat).all(sleeps);
            looks = if all { looks + 1 } else { 0 };
        }
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("the program can be waited for") {
                return status.code();
            }
            assert!(Instant::now() < end, "the program does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A file of this test's own.
fn write_configuration(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let at = std::env::temp_dir().join(format!("fernspan-{}-{number}.json", std::process::id()));
    std::fs::write(&at, text).expect("the configuration is written");
    at
}

/// The program, without a configuration from this process's surroundings.
pub fn program() -> Command {
    without_configuration(Command::new(env!("CARGO_BIN_EXE_fernspan")))
}

/// The program with `inherited` as descriptor 4, as the platform passes the clients' listening socket on.
pub fn program_with_descriptor_4(inherited: OwnedFd) -> Command {
    let mut shell = Command::new("sh");
    shell.args(["-c", "exec 4<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_fernspan")]).stdin(inherited);
    without_configuration(shell)
}

fn without_configuration(mut command: Command) -> Command {
    for variable in ["PROXY_CONFIG", "PROXY_ENUM", "PROXY_FD", "PROXY_MGMT", "TMPDIR"] {
        command.env_remove(variable);
    }
    command
}

/// A piece of a line of bytes.
#[derive(Clone, Debug)]
enum Token {
    Bytes(Vec<u8>),
    /// A run of digits, whatever they are.
    Digits,
    Any(usize),
    Capture(String, usize),
    Captured(String),
}

/// One end that the test holds.
enum End {
    Stream(TcpStream, Vec<u8>),
    /// The program's nth datagram came from there.
    Peer(SocketAddr),
    Datagrams(UdpSocket),
}

#[derive(Default)]
struct Play {
    program: Option<Program>,
    address: Option<SocketAddr>,
    listeners: HashMap<String, TcpListener>,
    sockets: HashMap<String, UdpSocket>,
    accepted: HashMap<String, usize>,
    ends: HashMap<String, End>,
    captured: HashMap<String, Vec<u8>>,
    filling: Vec<TcpStream>,
    /// The program's memory as it was noted, in KB.
    noted: u64,
    /// The sockets that it had open as they were noted.
    sockets_noted: usize,
    /// Other values of fields of the configuration.
    settings: Vec<(String, String)>,
    /// Held while bytes are written, so that a beat comes between lines.
    writing: Arc<Mutex<()>>,
}

/// A command channel that is alive says a number every second (PROTOCOL).
const BEAT: Duration = Duration::from_secs(1);

/// Plays one file.
pub fn play(text: &str) {
    let mut play = Play::default();
    let mut defs: HashMap<&str, &str> = HashMap::new();
    for (n, line) in PRELUDE.lines().chain(text.lines()).enumerate() {
        let line = line.trim();
        if let Some((name, value)) = line.strip_prefix("def ").and_then(|d| d.split_once(' ')) {
            defs.insert(name, value);
        } else if !line.is_empty() && !line.starts_with('#') {
            let line = expand(line, &defs);
            let n = (n + 1).saturating_sub(PRELUDE.lines().count());
            let done = play.line(&line);
            let log = || play.program.iter().flat_map(|p| p.log.try_iter()).collect::<Vec<_>>().join("\n");
            done.unwrap_or_else(|e| panic!("line {n}: {line}\n{e}\nits log:\n{}", log()));
        }
    }
    let broken = |line: &String| line.contains("an invariant would be broken");
    let log: Vec<String> = play.program.iter().flat_map(|p| p.log.try_iter()).collect();
    assert!(!log.iter().any(broken), "{}", log.join("\n"));
}

/// Puts the text of `def name text` in the place of `$name(a|b)`, with its `%1` and `%2` filled in.
fn expand(line: &str, defs: &HashMap<&str, &str>) -> String {
    let Some((before, rest)) = line.split_once('$') else { return line.to_owned() };
    let (name, rest) = rest.split_once('(').expect("$name(");
    let (arguments, after) = rest.split_once(')').expect("$name(..)");
    let mut value = defs.get(name).unwrap_or_else(|| panic!("no def {name}")).to_string();
    for (i, argument) in arguments.split('|').enumerate() {
        value = value.replace(&format!("%{}", i + 1), argument);
    }
    expand(&format!("{before}{value}{after}"), defs)
}

impl Play {
    fn line(&mut self, line: &str) -> Result<(), String> {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (what, bytes) = rest.split_once(' ').unwrap_or((rest, ""));
        match (who, what) {
            ("platform" | "enum", _) => self.start(who, rest),
            ("lists", _) => {
                let text = OPERATOR.replace("SERVERS", &self.endpoints(rest)?);
                self.rewrite(text)?;
            }
            ("wait", ms) => std::thread::sleep(Duration::from_millis(ms.parse().map_err(|_| "wait")?)),
            ("terminate", _) => self.signal("-TERM")?,
            // Whatever comes meanwhile waits for it, and is there all together when it goes on.
            ("program", "stops") => self.signal("-STOP")?,
            ("program", "continues") => self.signal("-CONT")?,
            ("setting", field) => self.settings.push((field.to_owned(), bytes.to_owned())),
            ("sockets", "noted") => self.sockets_noted = self.open_sockets()?,
            ("sockets", fewer) => {
                let left = fewer.parse::<usize>().ok().and_then(|n| self.sockets_noted.checked_sub(n));
                let (left, end) = (left.ok_or("sockets FEWER")?, Instant::now() + PATIENCE);
                while self.open_sockets()? != left {
                    if Instant::now() > end {
                        return Err(format!("{} of {}", self.open_sockets()?, self.sockets_noted));
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            ("channel", "churns") => {
                let (first, count) = bytes.split_once(' ').ok_or("churns FIRST COUNT")?;
                let first: usize = first.parse().map_err(|_| "churns FIRST")?;
                self.churn(first, count.parse().map_err(|_| "churns COUNT")?)?;
            }
            ("channel", "beats") => self.beat()?,
            ("memory", "noted") => self.noted = self.memory()?,
            ("memory", _) => {
                let most = self.noted + bytes.parse::<u64>().map_err(|_| "memory within KB")?;
                let now = self.memory()?;
                if now > most {
                    return Err(format!("from {} to {now} KB", self.noted));
                }
            }
            ("processor", _) => {
                let (used, most) = (self.processor()?, bytes.parse().map_err(|_| "processor within MS")?);
                if used > most {
                    return Err(format!("{used} ms"));
                }
            }
            ("silent", n) => {
                let at = self.address.ok_or("no program")?;
                for _ in 0..n.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0) {
                    self.filling.push(TcpStream::connect(at).map_err(|e| e.to_string())?);
                }
            }
            ("server", name) => drop(self.listeners.insert(name.to_owned(), listener())),
            // The channel of that name, or no configuration at all; then the reload.
            ("reload", "bad") => {
                self.rewrite("{".to_owned())?;
                self.signal("-HUP")?;
            }
            ("reload", channel) => {
                let listener = listener();
                let at = listener.local_addr().map_err(|e| e.to_string())?;
                self.listeners.insert(channel.to_owned(), listener);
                self.rewrite(CONFIG.replace("SERVERS", "").replace("CHANNEL", &at.to_string()))?;
                self.signal("-HUP")?;
            }
            ("exits", code) => {
                let found = self.program.as_mut().ok_or("no program")?.exit_code();
                if found != code.parse().ok() {
                    return Err(format!("it exits with {found:?}"));
                }
            }
            (_, ">") => self.send(who, bytes, usize::MAX)?,
            // The same bytes, one at a time.
            (_, ">1") => self.send(who, bytes, 1)?,
            (_, "<") => self.expect(who, bytes)?,
            (_, "closes") => drop(self.ends.remove(who)),
            (_, "hangs") => self.hang(who)?,
            (_, "accepts") => self.empty(who)?,
            (_, "ends") => self.stream(who)?.shutdown(Shutdown::Write).map_err(|e| e.to_string())?,
            (_, "resets") => self.reset(who)?,
            (_, "stops") => drop(self.listeners.remove(who)),
            (_, "closed") => self.closed(who)?,
            (_, "quiet") => self.quiet(who, bytes)?,
            _ => return Err("no such line".to_owned()),
        }
        Ok(())
    }

    /// From now on the channel says a number every second that no event has passed, until it ends.
    fn beat(&mut self) -> Result<(), String> {
        let mut stream = self.stream("channel")?.try_clone().map_err(|e| e.to_string())?;
        let writing = self.writing.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(BEAT);
                let Ok(_alone) = writing.lock() else { return };
                if stream.write_all(b"1\n").is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    /// Lists servers that go again at once, at an address where nobody listens; two events each.
    fn churn(&mut self, first: usize, count: usize) -> Result<(), String> {
        let writing = self.writing.clone();
        let End::Stream(stream, _) = self.end("channel")? else { return Err("no channel".to_owned()) };
        for n in 0..count {
            let _alone = writing.lock().map_err(|e| e.to_string())?;
            for (i, state) in ["SERVING", "DELETED"].into_iter().enumerate() {
                let cursor = first + 2 * n + i;
                let id = first + 2 * n;
                let server = format!(
                    r#"{{"id":"x{id}","addr":"127.0.0.1:1","cell":7,"state":"{state}","started_ms":0}}"#
                );
                let line = format!(r#"{{"cursor":{cursor},"nodes":{{"full":false,"servers":[{server}]}}}}"#);
                stream.write_all(format!("{line}\n").as_bytes()).map_err(|e| e.to_string())?;
            }
        }
        Ok(())
    }

    /// The stream of that name, which is open.
    fn stream(&mut self, who: &str) -> Result<&mut TcpStream, String> {
        match self.end(who)? {
            End::Stream(stream, _) => Ok(stream),
            _ => Err("no connection".to_owned()),
        }
    }

    /// Closes with something unread, which resets the connection: the answer to a test.
    fn reset(&mut self, who: &str) -> Result<(), String> {
        let stream = self.stream(who)?;
        stream.write_all(b"\0\x0d\x34\0\0\0\0\0\0\0\0\x2c\0\x01\0").map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
        stream.peek(&mut [0]).map_err(|e| e.to_string())?;
        self.ends.remove(who);
        Ok(())
    }

    /// Sockets that the program has open.
    fn open_sockets(&self) -> Result<usize, String> {
        let id = self.program.as_ref().ok_or("no program")?.child.id();
        let open = std::fs::read_dir(format!("/proc/{id}/fd")).map_err(|e| e.to_string())?;
        let links = open.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        Ok(links.filter(|to| to.to_string_lossy().starts_with("socket:")).count())
    }

    /// What the program holds in memory, in KB.
    fn memory(&self) -> Result<u64, String> {
        let id = self.program.as_ref().ok_or("no program")?.child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).map_err(|e| e.to_string())?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).ok_or("no VmRSS")?;
        line.trim().trim_end_matches(" kB").parse().map_err(|_| format!("no number: {line}"))
    }

    /// Processor time that the program has used, in ms: fields 14 and 15 of its stat, in hundredths of a second.
    fn processor(&self) -> Result<u64, String> {
        let id = self.program.as_ref().ok_or("no program")?.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).map_err(|e| e.to_string())?;
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        Ok(fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * 10)
    }

    fn signal(&self, name: &str) -> Result<(), String> {
        let id = self.program.as_ref().ok_or("no program")?.child.id().to_string();
        Command::new("kill").args([name, &id]).status().map(drop).map_err(|e| e.to_string())
    }

    /// Puts another text into the program's file.
    fn rewrite(&self, text: String) -> Result<(), String> {
        let program = self.program.as_ref().ok_or("no program")?;
        std::fs::write(&program.file, text).map_err(|e| e.to_string())
    }

    /// Starts the program with these servers, all of them listed as serving.
    fn start(&mut self, what: &str, servers: &str) {
        let mut listed = Vec::new();
        for (i, name) in servers.split_whitespace().enumerate() {
            let name = name.split('=').next().unwrap_or(name);
            let listener = listener();
            let at = listener.local_addr().expect("bound");
            listed.push(format!(
                r#"{{"id":"{name}","addr":"{at}","zone":"z","kind":"k","cell":{i},"state":"SERVING","started_ms":0}}"#
            ));
            if what == "enum" {
                let socket = UdpSocket::bind(at).expect("the port is free for UDP as well");
                socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                self.sockets.insert(name.to_owned(), socket);
            }
            self.listeners.insert(name.to_owned(), listener);
        }
        let channel = listener();
        let at = channel.local_addr().expect("bound").to_string();
        self.listeners.insert("channel".to_owned(), channel);
        let (variable, text) = if what == "enum" {
            let endpoints = self.endpoints(servers).expect("endpoints");
            ("PROXY_ENUM", OPERATOR.replace("SERVERS", &endpoints))
        } else {
            let text = CONFIG.replace("SERVERS", &listed.join(",")).replace("CHANNEL", &at);
            ("PROXY_CONFIG", self.settings.iter().fold(text, |text, (field, value)| set(&text, field, value)))
        };
        let program = Program::start(variable, &text);
        self.address = Some(program.address());
        self.program = Some(program);
    }

    /// Name servers in xDS form, as in `ns1 ns2=DRAINING`.
    fn endpoints(&self, servers: &str) -> Result<String, String> {
        let mut listed = Vec::new();
        for server in servers.split_whitespace() {
            let (name, health) = server.split_once('=').unwrap_or((server, "UNKNOWN"));
            let at =
                self.listeners.get(name).ok_or("no such server")?.local_addr().map_err(|e| e.to_string())?;
            listed.push(format!(
                r#"{{"endpoint":{{"address":{{"socket_address":{{"address":"{}","port_value":{}}}}}}},"healthStatus":"{health}"}}"#,
                at.ip(),
                at.port()
            ));
        }
        Ok(listed.join(","))
    }

    /// The end of that name, opened where it is new: `caller1` connects, `s1` and `s1.2` accept.
    fn end(&mut self, who: &str) -> Result<&mut End, String> {
        if !self.ends.contains_key(who) {
            let (name, number) = who.split_once('.').unwrap_or((who, "1"));
            let address = self.address.ok_or("no program")?;
            let end = if let Some(socket) = self.sockets.get(name) {
                let mut byte = [0];
                Err(format!("no datagram {number} yet: {:?}", socket.peek(&mut byte).is_ok()))?
            } else if let Some(listener) = self.listeners.get(name.trim_end_matches('t')) {
                let count = self.accepted.entry(name.to_owned()).or_default();
                *count += 1;
                if number != count.to_string() {
                    return Err(format!("the next connection is {name}.{count}"));
                }
                End::Stream(accept(listener)?, Vec::new())
            } else if name.starts_with("udp") {
                let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
                socket.connect(address).map_err(|e| e.to_string())?;
                socket.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
                End::Datagrams(socket)
            } else {
                End::Stream(TcpStream::connect(address).map_err(|e| e.to_string())?, Vec::new())
            };
            if let End::Stream(stream, _) = &end {
                stream.set_nodelay(true).map_err(|e| e.to_string())?;
            }
            self.ends.insert(who.to_owned(), end);
        }
        self.ends.get_mut(who).ok_or_else(|| "no such end".to_owned())
    }

    fn send(&mut self, who: &str, text: &str, piece: usize) -> Result<(), String> {
        let mut bytes = Vec::new();
        for token in self.tokens(text)? {
            match token {
                Token::Bytes(more) => bytes.extend(more),
                Token::Captured(name) => bytes.extend(self.captured.get(&name).ok_or("nothing captured")?),
                _ => return Err("only bytes can be sent".to_owned()),
            }
        }
        let socket = who.split_once('.').and_then(|(name, _)| self.sockets.get(name));
        if let (Some(socket), Some(End::Peer(peer))) = (socket, self.ends.get(who)) {
            return socket.send_to(&bytes, peer).map(drop).map_err(|e| e.to_string());
        }
        let writing = self.writing.clone();
        let _alone = writing.lock().map_err(|e| e.to_string())?;
        match self.end(who)? {
            End::Stream(stream, _) => {
                for part in bytes.chunks(piece.min(bytes.len().max(1))) {
                    stream.write_all(part).map_err(|e| e.to_string())?;
                }
            }
            End::Datagrams(socket) => drop(socket.send(&bytes).map_err(|e| e.to_string())?),
            End::Peer(_) => return Err("no socket".to_owned()),
        }
        Ok(())
    }

    fn expect(&mut self, who: &str, text: &str) -> Result<(), String> {
        let tokens = self.tokens(text)?;
        let name = who.split('.').next().unwrap_or(who);
        if let Some(socket) = self.sockets.get(name) {
            let (bytes, peer) = datagram(|b| socket.recv_from(b))?;
            self.ends.insert(who.to_owned(), End::Peer(peer));
            return self
                .matches(&tokens, &bytes)?
                .filter(|n| *n == bytes.len())
                .map(drop)
                .ok_or(shown(&bytes));
        }
        let end = Instant::now() + PATIENCE;
        loop {
            let mut bytes = match self.end(who)? {
                End::Stream(_, bytes) => std::mem::take(bytes),
                End::Datagrams(socket) => datagram(|b| socket.recv(b).map(|n| (n, ())))?.0,
                End::Peer(_) => return Err("no socket".to_owned()),
            };
            if let Some(used) = self.matches(&tokens, &bytes)? {
                let left = bytes.split_off(used);
                if let End::Stream(_, bytes) = self.end(who)? {
                    *bytes = left;
                }
                return Ok(());
            }
            let End::Stream(stream, kept) = self.end(who)? else { return Err(shown(&bytes)) };
            *kept = bytes;
            let mut chunk = [0; 4096];
            stream.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 && Instant::now() < end => kept.extend_from_slice(&chunk[..n]),
                found => return Err(format!("{found:?} after {}", shown(kept))),
            }
        }
    }

    /// How many bytes the tokens take, or nothing while there are too few. Bytes that differ are an error.
    fn matches(&mut self, tokens: &[Token], bytes: &[u8]) -> Result<Option<usize>, String> {
        let mut at = 0;
        for token in tokens {
            let captured = match token {
                Token::Captured(name) => self.captured.get(name).ok_or("nothing captured")?.clone(),
                Token::Bytes(bytes) => bytes.clone(),
                _ => Vec::new(),
            };
            match token {
                Token::Bytes(_) | Token::Captured(_) => {
                    let found = &bytes[at..bytes.len().min(at + captured.len())];
                    if !captured.starts_with(found) {
                        return Err(format!("came  {}\nafter {}", shown(found), shown(&bytes[..at])));
                    }
                    at += captured.len();
                }
                Token::Digits => at += bytes[at..].iter().take_while(|b| b.is_ascii_digit()).count(),
                Token::Any(n) => at += n,
                Token::Capture(name, n) => {
                    let Some(found) = bytes.get(at..at + n) else { return Ok(None) };
                    self.captured.insert(name.clone(), found.to_vec());
                    at += n;
                }
            }
            if at > bytes.len() {
                return Ok(None);
            }
        }
        Ok(Some(at))
    }

    /// Fills a server's backlog: as with a vanished machine, its connections stay and new ones never come up.
    fn hang(&mut self, who: &str) -> Result<(), String> {
        let at = self.listeners.get(who).ok_or("no such server")?.local_addr().map_err(|e| e.to_string())?;
        while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
            self.filling.push(stream);
        }
        Ok(())
    }

    /// Takes what has filled a server's backlog, so that a connect which waits there comes up.
    fn empty(&mut self, who: &str) -> Result<(), String> {
        let filled = std::mem::take(&mut self.filling);
        let listener = self.listeners.get(who).ok_or("no such server")?;
        for _ in &filled {
            accept(listener)?;
        }
        Ok(())
    }

    fn closed(&mut self, who: &str) -> Result<(), String> {
        let End::Stream(stream, kept) = self.end(who)? else { return Err("no connection".to_owned()) };
        stream.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
        match stream.read_to_end(kept) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => Err(e.to_string()),
            _ if kept.is_empty() => Ok(()),
            _ => Err(shown(kept)),
        }
    }

    /// Nothing may come for so many milliseconds.
    fn quiet(&mut self, who: &str, ms: &str) -> Result<(), String> {
        let wait = Some(Duration::from_millis(ms.parse().map_err(|_| "quiet")?));
        let mut chunk = [0; 512];
        let found = match self.sockets.get(who) {
            Some(socket) => {
                socket.set_read_timeout(wait).map_err(|e| e.to_string())?;
                let found = socket.recv(&mut chunk);
                socket.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
                found
            }
            None => match self.end(who)? {
                End::Stream(_, kept) if !kept.is_empty() => return Err(shown(kept)),
                End::Stream(stream, _) => {
                    stream.set_read_timeout(wait).map_err(|e| e.to_string())?;
                    stream.read(&mut chunk)
                }
                End::Datagrams(socket) => {
                    socket.set_read_timeout(wait).map_err(|e| e.to_string())?;
                    let found = socket.recv(&mut chunk);
                    socket.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
                    found
                }
                End::Peer(_) => return Err("no socket".to_owned()),
            },
        };
        match found {
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                Ok(())
            }
            Ok(n) => Err(format!("came {}", shown(&chunk[..n]))),
            Err(e) => Err(e.to_string()),
        }
    }

    fn tokens(&self, text: &str) -> Result<Vec<Token>, String> {
        let mut rest = text;
        let tokens = self.group(&mut rest, None)?;
        if rest.is_empty() { Ok(tokens) } else { Err(format!("left over: {rest}")) }
    }

    /// Reads tokens up to a closing mark.
    fn group(&self, rest: &mut &str, closing: Option<char>) -> Result<Vec<Token>, String> {
        let mut tokens = Vec::new();
        loop {
            *rest = rest.trim_start();
            let Some(c) = rest.chars().next() else { break };
            if Some(c) == closing {
                *rest = &rest[1..];
                return Ok(tokens);
            }
            match c {
                '\'' | '"' => {
                    let (quoted, after) = rest[1..].split_once(c).ok_or("quote without an end")?;
                    let plain = quoted.replace("\\r", "\r").replace("\\n", "\n");
                    tokens.push(Token::Bytes(plain.into_bytes()));
                    *rest = after;
                }
                '{' | '(' => {
                    *rest = &rest[1..];
                    let inner = self.group(rest, Some(if c == '{' { '}' } else { ')' }))?;
                    let length = inner.iter().try_fold(0, |n, t| match t {
                        Token::Bytes(b) => Some(n + b.len()),
                        Token::Any(more) | Token::Capture(_, more) => Some(n + more),
                        Token::Captured(name) => Some(n + self.captured.get(name)?.len()),
                        Token::Digits => None,
                    });
                    tokens.push(match (length, c) {
                        (Some(n), '{') => Token::Bytes((n as u16).to_be_bytes().to_vec()),
                        (Some(n), _) => Token::Bytes(vec![n as u8]),
                        (None, '{') => Token::Any(2),
                        (None, _) => Token::Any(1),
                    });
                    tokens.extend(inner);
                }
                '[' => {
                    let (name, after) = rest[1..].split_once(']').ok_or("[ without an end")?;
                    tokens.push(match name.split_once(':') {
                        Some((name, n)) => {
                            Token::Capture(name.to_owned(), n.parse().map_err(|_| "[name:n]")?)
                        }
                        None => Token::Captured(name.to_owned()),
                    });
                    *rest = after;
                }
                _ => {
                    let end = rest.find([' ', '{', '(', '\'', '"', '[', '}', ')']).unwrap_or(rest.len());
                    let (word, after) = rest.split_at(end);
                    tokens.push(self.word(word)?);
                    *rest = after;
                }
            }
        }
        if closing.is_some() { Err("a group without an end".to_owned()) } else { Ok(tokens) }
    }

    fn word(&self, word: &str) -> Result<Token, String> {
        if word == "#" {
            return Ok(Token::Digits);
        }
        if let Some(name) = word.strip_prefix('@') {
            let listener = self.listeners.get(name).ok_or("no such server")?;
            return Ok(Token::Bytes(
                listener.local_addr().map_err(|e| e.to_string())?.to_string().into_bytes(),
            ));
        }
        if let Some(n) = word.strip_prefix('*') {
            return Ok(Token::Any(n.parse().map_err(|_| "*n")?));
        }
        let pairs: Option<Vec<u8>> = word
            .len()
            .is_multiple_of(2)
            .then(|| (0..word.len()).step_by(2).map(|i| u8::from_str_radix(word.get(i..i + 2)?, 16).ok()))
            .and_then(Iterator::collect);
        pairs.map(Token::Bytes).ok_or_else(|| format!("no bytes: {word}"))
    }
}

/// Puts another value in the place of a field's, which is a number, a text or a flag.
fn set(text: &str, field: &str, value: &str) -> String {
    let name = format!("\"{field}\":");
    let (before, after) = text.split_once(&name).unwrap_or_else(|| panic!("no field {field}"));
    let end = after.find([',', '}']).expect("a value ends");
    format!("{before}{name}{value}{}", &after[end..])
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn accept(listener: &TcpListener) -> Result<TcpStream, String> {
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    let end = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).map_err(|e| e.to_string())?;
                return Ok(stream);
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(e) => return Err(format!("no connection: {e}")),
        }
    }
}

fn datagram<P>(
    mut receive: impl FnMut(&mut [u8]) -> std::io::Result<(usize, P)>,
) -> Result<(Vec<u8>, P), String> {
    let mut bytes = vec![0; 65_536];
    let (n, peer) = receive(&mut bytes).map_err(|e| format!("no datagram: {e}"))?;
    bytes.truncate(n);
    Ok((bytes, peer))
}

fn shown(bytes: &[u8]) -> String {
    format!("{} ({})", bytes.escape_ascii(), bytes.len())
}
