//! Standard base64 with padding, as the store uses it for values.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = (bits >> (18 - 6 * place)) & 63;
            text.push(match place <= chunk.len() {
                true => char::from(ALPHABET[digit as usize]),
                false => '=',
            });
        }
    }
    text
}

pub fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for digit in text.bytes().filter(|digit| *digit != b'=') {
        let value = ALPHABET.iter().position(|known| *known == digit)?;
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(bytes)
}
